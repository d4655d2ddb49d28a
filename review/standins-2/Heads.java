import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Clients that nobody controls send heads of legal size with very many short lines; ordinary callers must still get answers. */
public final class Heads {
    static final int CROWD = 10;
    static final String MANIFEST = "{\"version\":1,\"routes\":["
        + "{\"name\":\"confirm\",\"host\":\"shop.example\",\"pathPrefix\":\"/confirm/\",\"kind\":\"unsafe\",\"timeoutMs\":1000,\"targetLatencyMs\":121,\"service\":\"book\",\"maxAttempts\":1},"
        + "{\"name\":\"status\",\"host\":\"shop.example\",\"pathPrefix\":\"/status/\",\"kind\":\"safe\",\"timeoutMs\":1000,\"targetLatencyMs\":121,\"service\":\"book\",\"maxAttempts\":2},"
        + "{\"name\":\"reply\",\"host\":\"shop.example\",\"pathPrefix\":\"/reply/\",\"kind\":\"streaming\",\"timeoutMs\":15000,\"targetLatencyMs\":1000,\"targetGapMs\":400,\"service\":\"desk\",\"maxAttempts\":1,\"sticky\":true}],"
        + "\"services\":[{\"name\":\"book\",\"healthPath\":\"/health\",\"maxConns\":110},{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":370,\"engine\":{\"slots\":64,\"models\":[{\"name\":\"m\"}]}}],"
        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

    public static void main(String[] arguments) throws Exception {
        int status = 2;
        try (Site site = new Site(Path.of(arguments[0]))) { status = run(site); }
        System.exit(status);
    }

    static int run(Site site) throws Exception {
        site.startList();
        for (int i = 0; i < 3; i++) site.addReplica("book", 6, null);
        for (int i = 0; i < 3; i++) site.addReplica("desk", 64, "m");
        site.startControl();
        Site.Router router = site.startRouter();
        if (!site.order("/api/config/put", MANIFEST) || !site.awaitReady()) return 2;
        Thread.sleep(2000);
        ScheduledExecutorService clock = Executors.newScheduledThreadPool(4);
        ExecutorService threads = Executors.newCachedThreadPool();
        AtomicInteger number = new AtomicInteger();
        AtomicBoolean isCrowded = new AtomicBoolean();
        int[][] counts = new int[2][4]; // calm and crowded: sent, 200, refused, nothing
        clock.scheduleAtFixedRate(() -> threads.submit(() -> {
            int next = number.incrementAndGet();
            String path = next % 3 == 0 ? "GET /status/1" : "POST /confirm/1";
            int phase = isCrowded.get() ? 1 : 0;
            Site.Answer answer = Site.call(router.callers, head(path, next, 1000, ""), 2500);
            synchronized (counts) {
                counts[phase][0]++;
                counts[phase][answer.status() == 200 ? 1 : answer.status() > 0 ? 2 : 3]++;
            }
            site.note("ordinary " + next + " " + path.split("/")[1] + " " + answer.status() + " " + (int) answer.milliseconds() + " ms " + new String(answer.body(), StandardCharsets.ISO_8859_1).trim().replaceAll("\\x00+", ""));
        }), 0, 100, TimeUnit.MILLISECONDS);
        Thread.sleep(8000);
        if (counts[0][1] < 60) { site.note("no calm"); return 2; }
        isCrowded.set(true);
        long end = System.nanoTime() + 30_000_000_000L;
        String odd = oddLines();
        int bytes = odd.replace("\r\n", "").length() + odd.split("\r\n").length;
        site.note(CROWD + " clients begin, each sends one request after the other, with " + odd.split("\r\n").length + " lines, " + bytes + " bytes as the limit counts them");
        AtomicInteger sentByCrowd = new AtomicInteger();
        for (int i = 0; i < CROWD; i++) {
            int client = i;
            threads.submit(() -> {
                for (int turn = 0; System.nanoTime() < end; turn++) {
                    byte[] request = head("POST /reply/1", 1_000_000 + client * 10_000 + turn, 15000, "Model: m\r\nToken-Usage: 826,97\r\nPrefix-Hash: 5c1e:198,91bd:628\r\n" + odd);
                    Site.Answer answer = Site.call(router.callers, request, 15000);
                    sentByCrowd.incrementAndGet();
                    site.note("crowd " + client + " " + answer.status() + " " + (int) answer.milliseconds() + " ms " + request.length + " bytes sent");
                    try { Thread.sleep(50); } catch (InterruptedException ended) { return; }
                }
            });
        }
        Thread.sleep(30_000);
        isCrowded.set(false);
        Thread.sleep(1500);
        site.note("the crowd sent " + sentByCrowd + " requests in 30 s");
        site.note("calm: " + Arrays.toString(counts[0]) + ", beside the crowd: " + Arrays.toString(counts[1]) + " (sent, 200, refused, nothing in the time limit)");
        site.note("router alive " + router.process.isAlive() + ", " + Site.residentMegabytes(router.process) + " MB at most");
        return counts[1][1] * 10 < counts[1][0] ? 1 : 0;
    }

    static byte[] head(String line, int number, int limit, String more) {
        return (line + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + String.format("%016x", number) + "\r\nDeadline-Ms: " + limit
            + "\r\nContent-Length: 0\r\n" + more + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    /** 2,600 lines of one letter, and as many bytes again in one line; with trouble, that line names channel headers. */
    static String oddLines() {
        StringBuilder lines = new StringBuilder();
        for (int i = 0; i < 2600; i++) lines.append("b:\r\n");
        return lines.append(Site.TROUBLE ? "Connection: " : "Comments: ").append("a,".repeat(3900)).append("a\r\n").toString();
    }
}

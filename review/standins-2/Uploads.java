import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** LOST: requesters of an unsafe route leave half an objective after they have sent a long request, while replicas are silent for a second. */
public final class Uploads {
    static final int LIMIT_BYTES = 4_194_304;
    static final String MANIFEST = "{\"version\":1,\"routes\":["
        + "{\"name\":\"confirm\",\"host\":\"shop.example\",\"pathPrefix\":\"/confirm/\",\"kind\":\"unsafe\",\"timeoutMs\":1550,\"targetLatencyMs\":199,\"service\":\"book\",\"maxAttempts\":1},"
        + "{\"name\":\"status\",\"host\":\"shop.example\",\"pathPrefix\":\"/status/\",\"kind\":\"safe\",\"timeoutMs\":1550,\"targetLatencyMs\":199,\"service\":\"book\",\"maxAttempts\":2}],"
        + "\"services\":[{\"name\":\"book\",\"healthPath\":\"/health\",\"maxConns\":110}],"
        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":" + LIMIT_BYTES + ",\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

    static byte[] request(String method, String path, String id, int bytes) {
        byte[] head = (method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 1550\r\nContent-Length: " + bytes
            + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
        return Arrays.copyOf(head, head.length + bytes);
    }

    public static void main(String[] arguments) throws Exception {
        int status = 2;
        try (Site site = new Site(Path.of(arguments[0]))) { status = run(site); }
        System.exit(status);
    }

    static int run(Site site) throws Exception {
        site.startList();
        for (int i = 0; i < 5; i++) site.addReplica("book", 6, null);
        site.startControl();
        Site.Router router = site.startRouter();
        if (!site.order("/api/config/put", MANIFEST) || !site.awaitReady()) return 2;
        Thread.sleep(2000);
        ExecutorService threads = Executors.newCachedThreadPool(task -> { Thread thread = new Thread(task); thread.setDaemon(true); return thread; });
        long end = System.nanoTime() + 52_000_000_000L;
        for (int i = 0; i < CLIENTS; i++) { int client = i; threads.submit(() -> { keptClient(site, router.callers, client, end); return null; }); }
        Thread.sleep(9000);
        if (served.get() < 80) { site.note("no calm: " + served.get() + " served"); return 2; }
        site.note("calm: " + served + " served, router has used " + Site.residentMegabytes(router.process) + " MB at most");
        for (int round = 1; round <= 5 && router.process.isAlive(); round++) {
            site.note("round " + round + ": replicas fall silent for a second");
            site.replicas.forEach(replica -> replica.fallSilent(1000));
            List<Future<?>> uploads = new ArrayList<>();
            for (int i = 0; i < LEAVING; i++) {
                int next = 1_000_000 + round * 100 + i;
                uploads.add(threads.submit(() -> upload(site, router.callers, next)));
                Thread.sleep(26);
            }
            for (Future<?> upload : uploads) upload.get();
            Thread.sleep(7000);
            site.note("after round " + round + ": router alive " + router.process.isAlive() + ", " + Site.residentMegabytes(router.process) + " MB at most");
        }
        Thread.sleep(500);
        boolean isAlive = router.process.isAlive();
        if (!isAlive) site.note("the router ended by itself with status " + router.process.exitValue() + ": " + Site.lastLines(router.log, ".*OutOfMemory.*", 1));
        Set<String> run = new HashSet<>();
        site.replicas.forEach(replica -> replica.lines.forEach(line -> run.add(line.split(" ")[0])));
        Thread.sleep(1000);
        site.replicas.forEach(replica -> replica.lines.forEach(line -> { run.add(line.split(" ")[0]); site.note("ran " + line); }));
        long lost = unanswered.stream().filter(run::contains).count();
        site.note("served " + served + "; requests on kept channels that a replica ran and whose channel ended without an answer: " + lost + " (LOST allows 3)");
        return lost > 3 ? 1 : 0;
    }

    static final int CLIENTS = 100;
    static final int LEAVING = 30;
    static final AtomicInteger served = new AtomicInteger();
    static final Set<String> unanswered = ConcurrentHashMap.newKeySet();

    /** A requester that keeps its channel and sends a short confirmation every 8 s. */
    static void keptClient(Site site, int port, int client, long end) throws Exception {
        Thread.sleep(client * 80);
        for (int turn = 0; System.nanoTime() < end; ) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(Site.HOST, port), 1000);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (boolean isKept = true; isKept && System.nanoTime() < end; turn++) {
                    String id = String.format("%08x%08x", client, turn);
                    long start = System.nanoTime();
                    socket.setSoTimeout(1550);
                    socket.getOutputStream().write(request("POST", "/confirm/1", id, 600));
                    String head = null;
                    try { head = head(in); } catch (SocketTimeoutException late) {
                        site.note("kept " + id + " no answer in its time limit");
                        isKept = false;
                        continue;
                    } catch (IOException ended) { /* reset */ }
                    if (head == null) {
                        unanswered.add(id);
                        site.note("kept " + id + " its channel ended without an answer after " + (int) Site.since(start) + " ms");
                        isKept = false;
                        continue;
                    }
                    int status = Integer.parseInt(head.split(" ")[1]);
                    in.readNBytes(Integer.parseInt(head.replaceAll("(?is).*content-length: (\\d+).*", "$1")));
                    if (status == 200) served.incrementAndGet();
                    site.note("kept " + id + " " + status + " " + (int) Site.since(start) + " ms");
                    isKept = !head.toLowerCase().contains("connection: close");
                    Thread.sleep(Math.max(0, 8000 - (long) Site.since(start)));
                }
            } catch (IOException refused) { Thread.sleep(2000); }
        }
    }

    private static String head(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) return null;
            head.write(next);
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    static Void upload(Site site, int port, int number) throws Exception {
        byte[] request = request("POST", "/confirm/brief", String.format("%016x", number), LIMIT_BYTES);
        long start = System.nanoTime();
        if (!Site.TROUBLE) {
            Site.Answer answer = Site.call(port, request, 1550);
            site.note("upload " + number + " stays: " + answer.status() + " after " + (int) answer.milliseconds() + " ms");
            return null;
        }
        try (Socket socket = new Socket(Site.HOST, port)) {
            socket.getOutputStream().write(request);
            double sent = Site.since(start);
            socket.setSoTimeout(100);
            String heard = "nothing";
            try { byte[] head = new byte[600]; int count = socket.getInputStream().read(head); heard = count < 0 ? "end" : new String(head, 0, count).split("\r\n")[0]; }
            catch (SocketTimeoutException silence) { /* it leaves */ }
            site.note("upload " + number + " sent in " + (int) sent + " ms, heard " + heard + ", leaves");
        } catch (IOException ended) { site.note("upload " + number + " " + ended.getMessage() + " after " + (int) Site.since(start) + " ms"); }
        return null;
    }
}

import java.io.*;
import java.net.*;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.*;

/** GONE: requesters of an unsafe route leave; the replica, silent for a while, then rejects some of their requests as it is full. */
public final class Gone {
    static final int ROUTERS = 4, ROUNDS = 5, BURST = 16, EACH_LEAVING = 4, OBJECTIVE = 121;

    public static void main(String[] arguments) throws Exception {
        int status = 2;
        try (Site site = new Site(Path.of(arguments[0]))) { status = run(site); }
        System.exit(status);
    }

    static int run(Site site) throws Exception {
        site.startList();
        for (int i = 0; i < 3; i++) site.addReplica("book", 6, null).queue = 2;
        site.startControl();
        for (int i = 0; i < ROUTERS; i++) site.startRouter();
        if (!site.order("/api/config/put", Heads.MANIFEST) || !site.awaitReady()) return 2;
        Thread.sleep(2500);
        ExecutorService threads = Executors.newCachedThreadPool(task -> { Thread thread = new Thread(task); thread.setDaemon(true); return thread; });
        Map<String, Long> left = new ConcurrentHashMap<>();
        int number = 0, calm = 0;
        for (int i = 0; i < 200; i++) {
            int next = ++number;
            if (Site.call(site.routers.get(next % ROUTERS).callers, Uploads.request("POST", "/confirm/1", String.format("%016x", next), 600), 1000).status() == 200) calm++;
        }
        if (calm < 190) { site.note("no calm: " + calm); return 2; }
        for (int round = 0; round < ROUNDS; round++) {
            Replica silent = site.replicas.get(round % 3);
            silent.fallSilent(800);
            site.note("round " + round + ": " + silent.id + " falls silent for 800 ms; " + BURST * ROUTERS + " confirmations, one in " + EACH_LEAVING + " requesters leaves after " + OBJECTIVE / 2 + " ms");
            List<Future<?>> all = new ArrayList<>();
            for (int i = 0; i < BURST * ROUTERS; i++) {
                int next = ++number;
                boolean leaves = Site.TROUBLE && i / ROUTERS % EACH_LEAVING == 0;
                int port = site.routers.get(next % ROUTERS).callers;
                all.add(threads.submit(() -> request(site, port, String.format("%016x", next), leaves, left)));
            }
            for (Future<?> one : all) one.get();
            Thread.sleep(6000);
        }
        int late = 0;
        for (Replica replica : site.replicas) for (Map.Entry<String, Long> reached : replica.reached.entrySet()) {
            Long at = left.get(reached.getKey());
            if (at == null || reached.getValue() - at <= 500_000_000L) continue;
            late++;
            boolean ran = replica.lines.stream().anyMatch(line -> line.startsWith(reached.getKey()));
            site.note("request " + reached.getKey() + " reached " + replica.id + " " + (reached.getValue() - at) / 1_000_000 + " ms after its requester had left" + (ran ? " and ran" : ""));
        }
        site.note(left.size() + " requesters left; " + late + " requests reached a replica over half a second later");
        return late > 5 ? 1 : 0;
    }

    static Void request(Site site, int port, String id, boolean leaves, Map<String, Long> left) throws Exception {
        byte[] request = Uploads.request("POST", "/confirm/1", id, 600);
        if (!leaves) {
            Site.Answer answer = Site.call(port, request, 1000);
            site.note("request " + id + " " + answer.status() + " " + (int) answer.milliseconds() + " ms");
            return null;
        }
        boolean isAnswered = false;
        try (Socket socket = new Socket(Site.HOST, port)) {
            socket.getOutputStream().write(request);
            socket.setSoTimeout(OBJECTIVE / 2);
            try { isAnswered = socket.getInputStream().read() >= 0; } catch (SocketTimeoutException silence) { }
        }
        if (!isAnswered) left.put(id, System.nanoTime());
        site.note("request " + id + (isAnswered ? " answered" : " its requester leaves"));
        return null;
    }
}

import java.io.*;
import java.net.Socket;
import java.util.*;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.*;

/** A sound replica: it runs requests in its slots, echoes their ids and answers with a stamp. It may fall silent and goes on after that. */
final class Replica {
    final String id; final String service; final int port; final int slots; final String model;
    final AtomicLong ran = new AtomicLong();
    final ConcurrentLinkedQueue<String> lines = new ConcurrentLinkedQueue<>();
    volatile long silentUntil = 0;
    volatile int workMilliseconds = 21;
    volatile int events = 3;
    /** How many requests may wait beside those in the slots; further ones are rejected as not run. */
    volatile int queue = Integer.MAX_VALUE;
    /** When each request reached this replica, by its id. */
    final Map<String, Long> reached = new java.util.concurrent.ConcurrentHashMap<>();
    private final AtomicInteger present = new AtomicInteger();
    private final long born = System.currentTimeMillis();
    private final Semaphore free;
    private final Site site;

    Replica(Site site, String id, String service, int slots, String model) throws IOException {
        this.site = site; this.id = id; this.service = service; this.slots = slots; this.model = model;
        free = new Semaphore(slots);
        port = site.serve(0, this::handle);
    }

    void fallSilent(long milliseconds) { silentUntil = System.nanoTime() + milliseconds * 1_000_000L; }

    private void await() throws InterruptedException {
        for (long left = silentUntil - System.nanoTime(); left > 0; left = silentUntil - System.nanoTime()) Thread.sleep(left / 1_000_000 + 1);
    }

    String listEntry() {
        String models = model == null ? "[]" : "[{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}]";
        return "{\"id\":\"" + id + "\",\"service\":\"" + service + "\",\"address\":\"" + Site.HOST + ":" + port + "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":"
            + slots + ",\"state\":\"ready\",\"coldLeftMs\":0,\"born\":" + born + ",\"models\":" + models + "}";
    }

    private void handle(Socket socket, Site.Request request) throws Exception {
        String[] words = request.line.split(" ");
        if (words[1].equals("/api/report")) {
            String models = model == null ? "[]" : "[{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}]";
            Site.answer(socket, 200, "Content-Type: application/json\r\n", ("{\"models\":" + models + ",\"busy\":false,\"seq\":0,\"born\":" + born
                + ",\"waiting\":0,\"running\":" + (slots - free.availablePermits()) + "}").getBytes());
            return;
        }
        if (!request.header("expect-instance").isEmpty() && !request.header("expect-instance").equals(id)) {
            Site.answer(socket, 421, "Request-Id: " + request.header("request-id") + "\r\nNot-Executed: 1\r\n", new byte[0]);
            return;
        }
        reached.put(request.header("request-id"), System.nanoTime());
        await();
        if (present.incrementAndGet() > (long) slots + queue) {
            present.decrementAndGet();
            Site.answer(socket, 503, "Request-Id: " + request.header("request-id") + "\r\nNot-Executed: 1\r\nServer-Load: " + slots + "," + queue + "," + slots + "\r\n", new byte[0]);
            return;
        }
        free.acquire();
        try {
            await();
            ran.incrementAndGet();
            lines.add(request.header("request-id") + " " + request.line + " " + request.body.length);
            Thread.sleep(workMilliseconds);
            await();
            String head = "Request-Id: " + request.header("request-id") + "\r\nServer-Stamp: " + id + "." + ran.get() + "\r\n";
            if (model == null) { Site.answer(socket, 200, head, new byte[800]); return; }
            OutputStream out = socket.getOutputStream();
            StringBuilder text = new StringBuilder("HTTP/1.1 200 OK\r\n" + head + "Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int event = 1; event <= events; event++) {
                String data = "id: " + event + "\ndata: word\n\n";
                text.append(Integer.toHexString(data.length())).append("\r\n").append(data).append("\r\n");
            }
            out.write(text.append("0\r\n\r\n").toString().getBytes());
            out.flush();
        } finally {
            present.decrementAndGet();
            free.release();
        }
    }
}

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A sound replica of the platform: it answers requests, its liveness check, reports and orders. Cases override what is to be faulty. */
class Replica {
    final String id;
    final String service;
    final String address;
    final int slots;
    final int maxConns;
    final long born = System.currentTimeMillis();
    final ServerSocket server;
    final AtomicInteger channels = new AtomicInteger();
    final AtomicInteger running = new AtomicInteger();
    /** The name of its model, or an empty text. */
    final String model;
    long version = 1;
    long accepted;
    long busyUntil;
    long coming;

    Replica(String id, String service, String model, String host, int slots, int maxConns) throws IOException {
        this.id = id;
        this.service = service;
        this.model = model;
        this.slots = slots;
        this.maxConns = maxConns;
        server = new ServerSocket();
        server.bind(new InetSocketAddress(host, 0), 1_024);
        address = host + ":" + server.getLocalPort();
        Machines.daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                Machines.daemon(() -> serve(socket));
            }
        });
    }

    String entry() {
        return "{\"id\":\"" + id + "\",\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":"
            + slots + ",\"state\":\"ready\",\"coldLeftMs\":0,\"born\":" + born + ",\"stage\":\"colocated\",\"models\":[" + models() + "]}";
    }

    private synchronized String models() {
        settle();
        return model.isEmpty() ? "" : "{\"name\":\"" + model + "\",\"version\":" + version + ",\"adapters\":[]}";
    }

    private void settle() {
        if (coming > 0 && Log.now() >= busyUntil) {
            version = coming;
            coming = 0;
        }
    }

    private void serve(Socket socket) throws IOException {
        if (channels.incrementAndGet() > maxConns) {
            channels.decrementAndGet();
            socket.setSoLinger(true, 0);
            socket.close();
            return;
        }
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Wire.Message request = Wire.read(in, false);
                if (!answer(request, socket)) {
                    return;
                }
            }
        } finally {
            channels.decrementAndGet();
        }
    }

    /** Answers a request; returns whether the channel stays open. */
    boolean answer(Wire.Message request, Socket socket) throws IOException {
        OutputStream out = socket.getOutputStream();
        String expected = request.header("expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            Wire.respond(out, 421, "Not-Executed: 1\r\nRequest-Id: " + request.header("request-id") + "\r\n", "");
            return true;
        }
        switch (request.target()) {
            case "/api/report":
                report(request, socket);
                return true;
            case "/api/order":
                order(request, socket);
                return true;
            case "/health":
                Wire.respond(out, 200, "Instance-Id: " + id + "\r\n", "");
                return true;
            default:
                running.incrementAndGet();
                try {
                    run(request, socket);
                } finally {
                    running.decrementAndGet();
                }
                return true;
        }
    }

    void report(Wire.Message request, Socket socket) throws IOException {
        Wire.respond(socket.getOutputStream(), 200, "Content-Type: application/json\r\n", reportText());
    }

    synchronized String reportText() {
        settle();
        return "{\"stage\":\"colocated\",\"models\":[" + models() + "],\"busy\":" + (coming > 0) + ",\"seq\":" + accepted
            + ",\"waiting\":0,\"running\":" + running.get() + ",\"kvUsed\":0,\"kvTotal\":100000,\"handles\":0,\"born\":" + born + "}";
    }

    /** Takes an order as the pages say, without checking its generation number. */
    void order(Wire.Message request, Socket socket) throws IOException {
        Wire.respond(socket.getOutputStream(), carryOut(request), "", "");
    }

    synchronized int carryOut(Wire.Message request) {
        settle();
        long wanted = number(request.text(), "version");
        if (version >= wanted && coming == 0) {
            return 200;
        }
        if (coming > 0 || number(request.text(), "expected") != accepted) {
            return 409;
        }
        accepted += 1;
        coming = wanted;
        busyUntil = Log.now() + 570;
        return 202;
    }

    static long number(String json, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*(-?\\d+)").matcher(json);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
    }

    static String word(String json, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
        return matcher.find() ? matcher.group(1) : "";
    }

    String receipt(Wire.Message request) {
        return "Request-Id: " + request.header("request-id") + "\r\nServer-Stamp: " + id + "." + request.header("request-id") + "\r\n"
            + "Server-Load: " + running.get() + ",0," + slots + "\r\n" + (model.isEmpty() ? "" : "Weight-Versions: " + version + "\r\n");
    }

    /** Runs a request: a stream of forty events for a model, a short text otherwise. */
    void run(Wire.Message request, Socket socket) throws IOException {
        OutputStream out = socket.getOutputStream();
        if (request.header("model").isEmpty()) {
            pause(15);
            Wire.respond(out, 200, receipt(request), "whole answer to " + request.header("request-id"));
            return;
        }
        pause(40);
        Wire.write(out, "HTTP/1.1 200 OK\r\n" + receipt(request) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", new byte[0]);
        for (int i = 1; i <= 40; i++) {
            chunk(out, "id: " + i + "\ndata: piece " + i + " of " + request.header("request-id") + "\n\n");
            pause(20);
        }
        Wire.write(out, "0\r\n\r\n", new byte[0]);
    }

    static void chunk(OutputStream out, String text) throws IOException {
        Wire.write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n", new byte[0]);
    }

    static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }
}

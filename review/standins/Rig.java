import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.Paths;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What the scripts of the review share: it starts the programs of the project with the commands of the deploy file, on loopback, and
 * has small stand-ins for the platform's list, for replicas, for requesters and for the operator. One control machine and any number
 * of front machines stand at 127.0.0.1 with ports of their own. All processes that it started are ended by {@link #close()}.
 */
final class Rig implements AutoCloseable {
    static final String HOST = "127.0.0.1";
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root = Paths.get("").toAbsolutePath();
    final Path folder;
    final Path record;
    final long began = System.nanoTime();
    final int peerPort = freePort();
    final int operatorPort = freePort();
    final PlatformList platform = new PlatformList();
    final List<Proc> processes = new ArrayList<>();
    private final StringBuilder lines = new StringBuilder();
    private final Map<String, String> commands = new LinkedHashMap<>();

    Rig(String caseNumber) throws IOException {
        folder = Files.createTempDirectory("sniperoute-review");
        record = root.resolve("review").resolve(caseNumber).resolve("record.txt");
        String role = null;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[roles.")) role = line.substring(7, line.indexOf(']'));
            if (role != null && line.startsWith("run = ")) commands.put(role, line.substring(7, line.length() - 1));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        note("trouble " + (trouble ? "on" : "off"));
    }

    double now() {
        return (System.nanoTime() - began) / 1e9;
    }

    /** Adds a line to the record of the run. */
    void note(String text) {
        String line = String.format(Locale.ROOT, "%8.3f %s", now(), text);
        synchronized (lines) {
            lines.append(line).append('\n');
        }
    }

    void writeRecord() throws IOException {
        synchronized (lines) {
            Files.writeString(record, lines.toString());
        }
    }

    static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    /** A process of the project, with the address of what it serves. */
    final class Proc {
        final String name;
        final String role;
        final Path settings;
        final int callers;
        final int readiness;
        Process process;
        int ownEnds;
        volatile boolean isWatched;

        Proc(String name, String role, Path settings, int callers, int readiness) {
            this.name = name;
            this.role = role;
            this.settings = settings;
            this.callers = callers;
            this.readiness = readiness;
        }

        void start() throws IOException {
            List<String> words = new ArrayList<>(List.of(commands.get(role).split(" ")));
            words.set(words.size() - 1, settings.toString());
            ProcessBuilder builder = new ProcessBuilder(words).directory(root.toFile()).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            process = builder.start();
            note("process " + name + " started");
        }

        void kill() throws InterruptedException {
            isWatched = false;
            process.destroyForcibly().waitFor();
            note("process " + name + " killed by the test");
        }

        /** Restarts the process a second after it has ended by itself, as the platform does, and counts these ends. */
        void watch() {
            isWatched = true;
            Thread thread = new Thread(() -> {
                try {
                    while (isWatched) {
                        int status = process.waitFor();
                        if (!isWatched) return;
                        ownEnds += 1;
                        note("process " + name + " ended by itself with status " + status + ": " + lastLine());
                        Thread.sleep(1_000);
                        if (isWatched) start();
                    }
                } catch (InterruptedException | IOException failure) {
                    note("watching " + name + " ended: " + failure);
                }
            });
            thread.setDaemon(true);
            thread.start();
        }

        String log() {
            try {
                return Files.readString(folder.resolve(name + ".log"), StandardCharsets.ISO_8859_1);
            } catch (IOException failure) {
                return "";
            }
        }

        /** The line of the log that tells best why the process ended. */
        String lastLine() {
            String[] all = log().split("\n");
            for (int i = all.length - 1; i >= 0; i--) {
                if (all[i].contains("OutOfMemory") || all[i].contains("DUTY_FAILED") || all[i].contains("corrupt")) return all[i];
            }
            return all[all.length - 1];
        }
    }

    private String settings(String zone, String dataFolder, String callers, int readiness, String operators) {
        return "{ \"vm\": \"" + HOST + "\", \"failureDomain\": \"" + zone + "\", \"peerPort\": " + peerPort
            + ", \"seeds\": [\"" + HOST + ":" + operatorPort + "\"], \"mayForm\": true, \"votersToLose\": 0, \"dataFolder\": \""
            + dataFolder + "\", \"callers\": \"" + callers + "\", \"readiness\": \"" + (readiness == 0 ? "" : HOST + ":" + readiness)
            + "\", \"operators\": \"" + operators + "\", \"platformList\": \"" + HOST + ":" + platform.port + "\","
            + " \"orderRestMilliseconds\": 3000, \"weightsLimitMilliseconds\": 8000, \"graceSeconds\": 8, \"retryRatio\": 0.2,"
            + " \"retryExtra\": 52, \"retryWindowSeconds\": 10, \"allowanceWindowSeconds\": 8, \"allowanceOverage\": 0.1,"
            + " \"allowanceSlack\": 110000, \"servesWithoutLease\": true }";
    }

    Proc control() throws IOException {
        Path file = folder.resolve("control.json");
        Files.writeString(file, settings("a", folder.resolve("data").toString(), "", 0, HOST + ":" + operatorPort));
        Proc proc = new Proc("control", "control", file, 0, 0);
        processes.add(proc);
        return proc;
    }

    Proc router(int number) throws IOException {
        int callers = freePort();
        int readiness = freePort();
        Path file = folder.resolve("router" + number + ".json");
        Files.writeString(file, settings("a", "", HOST + ":" + callers, readiness, ""));
        Proc proc = new Proc("router" + number, "router", file, callers, readiness);
        processes.add(proc);
        return proc;
    }

    private void killAll() {
        platform.close();
        for (Proc proc : processes) {
            proc.isWatched = false;
            if (proc.process != null) proc.process.destroyForcibly();
        }
        for (Proc proc : processes) {
            try {
                if (proc.process != null) proc.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException ignored) {
                Thread.currentThread().interrupt();
            }
        }
        deleteAll(folder);
    }

    /** The bytes in the data folder of the control machine. */
    long dataBytes() throws IOException {
        try (var all = Files.walk(folder.resolve("data"))) {
            return all.filter(Files::isRegularFile).mapToLong(it -> it.toFile().length()).sum();
        }
    }

    private static void deleteAll(Path path) {
        try (var all = Files.walk(path)) {
            all.sorted((a, b) -> b.compareTo(a)).forEach(it -> it.toFile().delete());
        } catch (IOException ignored) {
            // Nothing is left to remove.
        }
    }

    @Override
    public void close() throws IOException {
        writeRecord();
        killAll();
    }

    /** Ends the script with its verdict: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
    static void run(String caseNumber, Body body) throws Exception {
        int status = 2;
        Rig rig = new Rig(caseNumber);
        try {
            status = body.play(rig) ? 1 : 0;
        } catch (Exception failure) {
            rig.note("the case couldn't run: " + failure);
            failure.printStackTrace();
        }
        rig.note("verdict " + status + (status == 1 ? ": the rule was broken" : status == 0 ? ": the rule held" : ": the case couldn't run"));
        rig.close();
        System.out.println("verdict " + status);
        Runtime.getRuntime().halt(status);
    }

    interface Body {
        boolean play(Rig rig) throws Exception;
    }

    // ---- HTTP

    /** A message with its first line, its headers in lower case, and its body. */
    static final class Message {
        String first = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        boolean isComplete;

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name);
        }

        String path() {
            return first.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) throw new EOFException("the channel ended");
            if (next == '\n') break;
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static Message readMessage(InputStream in) throws IOException {
        Message message = new Message();
        do {
            message.first = readLine(in);
        } while (message.first.isEmpty());
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(in).trim(), 16);
                body.write(in.readNBytes(size));
                if (size == 0) {
                    while (!readLine(in).isEmpty()) continue;
                    break;
                }
                readLine(in);
            }
            message.body = body.toByteArray();
        } else if (message.header("content-length") != null) {
            int length = Integer.parseInt(message.header("content-length"));
            message.body = in.readNBytes(length);
            if (message.body.length < length) throw new EOFException("the body ended early");
        }
        message.isComplete = true;
        return message;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    static void write(OutputStream out, String head, byte[] body) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(bytes(head));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    /** Handles one request on a channel; returns whether the channel stays open. */
    interface Handler {
        boolean handle(Message request, Socket channel) throws Exception;
    }

    /** Accepts channels and handles the requests on each of them one after the other. */
    static final class Server implements AutoCloseable {
        final ServerSocket listener;
        final int port;

        Server(Handler handler) {
            try {
                listener = new ServerSocket();
                listener.setReuseAddress(true);
                listener.bind(new InetSocketAddress(HOST, 0), 512);
            } catch (IOException failure) {
                throw new IllegalStateException(failure);
            }
            port = listener.getLocalPort();
            daemon(() -> {
                while (true) {
                    Socket channel = listener.accept();
                    daemon(() -> serve(channel, handler));
                }
            });
        }

        private void serve(Socket channel, Handler handler) throws Exception {
            try (channel) {
                channel.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(channel.getInputStream());
                while (handler.handle(readMessage(in), channel)) continue;
            } catch (IOException ignored) {
                // The other side has closed the channel.
            }
        }

        @Override
        public void close() {
            try {
                listener.close();
            } catch (IOException ignored) {
                // It is closed.
            }
        }
    }

    interface Action {
        void run() throws Exception;
    }

    static Thread daemon(Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (Exception ignored) {
                // The run is over, or the other side has gone.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ---- the platform

    /** The platform's list of replicas. */
    static final class PlatformList implements AutoCloseable {
        final Map<String, String> entries = new ConcurrentHashMap<>();
        private final Server server = new Server((request, channel) -> {
            String list = "{\"instances\":[" + String.join(",", entries.values()) + "],\"next\":null}";
            write(channel.getOutputStream(), "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                + bytes(list).length + "\r\n\r\n", bytes(list));
            return true;
        });
        final int port = server.port;

        void add(String id, String service, int port, int slots, String version, String state) {
            entries.put(id, "{\"id\":\"" + id + "\",\"service\":\"" + service + "\",\"address\":\"" + HOST + ":" + port
                + "\",\"zone\":\"a\",\"version\":\"" + version + "\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"coldLeftMs\":0,\"born\":" + System.currentTimeMillis() + "}");
        }

        @Override
        public void close() {
            server.close();
        }
    }

    // ---- replicas

    /** What a replica has seen of one request. */
    static final class Run {
        final String id;
        final String replica;
        final Message request;
        volatile boolean isAnswered;

        Run(String id, String replica, Message request) {
            this.id = id;
            this.replica = replica;
            this.request = request;
        }
    }

    final Map<String, List<Run>> runs = new ConcurrentHashMap<>();
    private final AtomicLong stamps = new AtomicLong();

    /** Decides how a replica answers a request that it has begun to run; returns whether the channel stays open. */
    interface Work {
        boolean answer(Run run, Socket channel) throws Exception;
    }

    /** A sound replica, except for its [work]: it runs at most as many requests at once as it has slots, and checks Expect-Instance. */
    final class Replica {
        /** What answers calls other than requests, as a model server does; null for a plain server. */
        volatile Handler pages;
        final String id;
        final String service;
        final int slots;
        final Server server;
        final AtomicInteger running = new AtomicInteger();

        Replica(String id, String service, int slots, Work work) {
            this.id = id;
            this.service = service;
            this.slots = slots;
            server = new Server((request, channel) -> {
                String requestId = request.header("request-id");
                String expected = request.header("expect-instance");
                if (expected != null && !expected.equals(id)) {
                    reject(channel, requestId, 421);
                    return true;
                }
                if (request.path().equals("/health")) {
                    write(channel.getOutputStream(), "HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n", new byte[0]);
                    return true;
                }
                if (pages != null && request.path().startsWith("/api/")) return pages.handle(request, channel);
                if (running.incrementAndGet() > slots) {
                    running.decrementAndGet();
                    reject(channel, requestId, 503);
                    return true;
                }
                try {
                    Run run = new Run(requestId, id, request);
                    runs.computeIfAbsent(requestId, it -> java.util.Collections.synchronizedList(new ArrayList<>())).add(run);
                    note("replica " + id + " runs " + requestId);
                    return work.answer(run, channel);
                } finally {
                    running.decrementAndGet();
                }
            });
            platform.add(id, service, server.port, slots, "v1", "ready");
        }

        /** Lists the replica as a model server with version 1 of the weights of [model]. */
        void serveModel(String model, Handler pages) {
            this.pages = pages;
            platform.entries.computeIfPresent(id, (key, entry) -> entry.substring(0, entry.length() - 1)
                + ",\"stage\":\"colocated\",\"models\":[{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}]}");
        }

        private void reject(Socket channel, String requestId, int status) throws IOException {
            write(channel.getOutputStream(), "HTTP/1.1 " + status + " No\r\nRequest-Id: " + requestId + "\r\nServer-Stamp: " + id
                + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", new byte[0]);
        }
    }

    String stamp(Run run) {
        return run.replica + "." + stamps.incrementAndGet();
    }

    String headOf(Run run, String more) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + run.id + "\r\nServer-Stamp: " + stamp(run) + "\r\n" + more + "\r\n";
    }

    /** Work of a sound replica: an answer of 800 bytes after some time. */
    Work sound(long milliseconds) {
        return (run, channel) -> {
            Thread.sleep(milliseconds);
            byte[] body = bytes("result of " + run.id + " ".repeat(800 - run.id.length() - 10));
            write(channel.getOutputStream(), headOf(run, "Content-Type: text/plain\r\nContent-Length: " + body.length + "\r\n"), body);
            run.isAnswered = true;
            return true;
        };
    }

    // ---- requesters

    /** An attempt of a requester and how it ended: a status, 0 if the channel ended without an answer, -1 while it is open. */
    static final class Attempt {
        final String id;
        final boolean isKeptChannel;
        final double sent;
        volatile int status = -1;
        volatile double ended;
        volatile Message answer;

        Attempt(String id, boolean isKeptChannel, double sent) {
            this.id = id;
            this.isKeptChannel = isKeptChannel;
            this.sent = sent;
        }
    }

    private static final AtomicLong attempts = new AtomicLong(System.nanoTime());

    static String newId() {
        return String.format(Locale.ROOT, "%016x", attempts.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    /** A requester's channel, kept for many requests. */
    final class Channel implements AutoCloseable {
        private final Socket socket;
        private final InputStream in;
        private int sent;

        Channel(int port) throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(HOST, port), 1_000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        /** Sends a request with the time limit [limit] and waits for the end of its answer, at most for [patience] without a byte. */
        Attempt call(String method, String path, String headers, int limit, int patience, byte[] body) {
            Attempt attempt = new Attempt(newId(), sent > 0, now());
            sent += 1;
            try {
                socket.setSoTimeout(patience);
                note("sent " + attempt.id + " " + method + " " + path);
                write(socket.getOutputStream(), method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + attempt.id
                    + "\r\nDeadline-Ms: " + limit + "\r\nAuthorization: Token key-1\r\n" + headers
                    + (body.length > 0 || method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n", body);
                attempt.answer = readMessage(in);
                attempt.status = attempt.answer.status();
            } catch (java.net.SocketTimeoutException late) {
                attempt.status = -1;
            } catch (IOException | RuntimeException failure) {
                attempt.status = 0;
            }
            attempt.ended = now();
            note("answered " + attempt.id + " " + (attempt.status == 0 ? "channel closed without an answer" : attempt.status == -1 ? "nothing" : attempt.status));
            return attempt;
        }

        boolean mayGoOn(Attempt attempt) {
            return attempt.status > 0 && !"close".equalsIgnoreCase(attempt.answer.header("connection"));
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    // ---- the operator

    /** Calls the control machine; returns the answer, or null when there is none within [limitMilliseconds]. */
    Message operator(String method, String path, byte[] body, int limitMilliseconds) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(HOST, operatorPort), 1_000);
            socket.setSoTimeout(limitMilliseconds);
            write(socket.getOutputStream(), method + " " + path + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
                + (method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n", body);
            return readMessage(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException failure) {
            return null;
        }
    }

    /** Sends [manifest] until it is acknowledged or [seconds] have passed; returns whether it was. */
    boolean put(String manifest, double seconds) throws InterruptedException {
        double end = now() + seconds;
        long pause = 100;
        while (now() < end) {
            Message answer = operator("POST", "/api/config/put", bytes(manifest), 2_000);
            if (answer != null && answer.status() == 200) return true;
            Thread.sleep(pause);
            pause = Math.min(1_000, pause * 2);
        }
        return false;
    }

    void waitUntilReady(Proc router, double seconds) throws Exception {
        double end = now() + seconds;
        while (now() < end) {
            if (isReady(router)) return;
            Thread.sleep(100);
        }
        throw new IOException(router.name + " does not become ready");
    }

    boolean isReady(Proc router) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(HOST, router.readiness), 500);
            socket.setSoTimeout(500);
            write(socket.getOutputStream(), "GET /api/ready HTTP/1.1\r\nHost: r\r\n\r\n", new byte[0]);
            return readMessage(new BufferedInputStream(socket.getInputStream())).status() == 200;
        } catch (IOException failure) {
            return false;
        }
    }

    static String route(String name, String path, String kind, int timeout, int objective, int attempts, String service, String more) {
        return "{\"name\":\"" + name + "\",\"host\":\"desk.example\",\"pathPrefix\":\"" + path + "\",\"kind\":\"" + kind
            + "\",\"timeoutMs\":" + timeout + ",\"targetLatencyMs\":" + objective + ",\"priority\":2,\"service\":\"" + service
            + "\",\"maxAttempts\":" + attempts + ",\"anonymous\":false,\"sticky\":false" + more + "}";
    }

    static String manifest(long version, List<String> routes, List<String> services) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":[" + String.join(",", services)
            + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[{\"name\":\"team-1\",\"apiKeys\":[\"key-1\"],\"priority\":1,\"unit\":\"tokens\",\"plainTokens\":200,"
            + "\"isolated\":false,\"ratePerS\":90000000,\"burst\":90000000}]}";
    }

    static String modelService(String name, String model) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConns\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{"
            + "\"slots\":64,\"kvCapacity\":119677,\"kvTokenBytes\":163840,\"linkMbps\":130000.0,\"moves\":true,\"backups\":true,\"stride\":4,"
            + "\"maxConcurrent\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"" + model + "\"}]}}";
    }

    static String service(String name) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConns\":96,\"protocol\":\"h1\",\"tls\":false}";
    }
}

import java.io.*;
import java.net.*;
import java.net.http.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.LongAdder;

/**
 * A small deployment on loopback: one control process and some routers, started with the commands of the deploy file, the platform's list,
 * and replicas. Everything that it starts ends with it. The rules of a case are in the classes that use it.
 */
final class Site implements AutoCloseable {
    static final String HOST = "127.0.0.1";
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    private final PrintWriter record;
    private final long begin = System.nanoTime();
    private final List<Process> processes = new CopyOnWriteArrayList<>();
    final List<Replica> replicas = new CopyOnWriteArrayList<>();
    private final List<ServerSocket> listening = new CopyOnWriteArrayList<>();
    private final int peerPort = freePort();
    final int operators = freePort();
    private int listPort;
    static final class Router { Process process; int callers; int readiness; int peerPort; Path log; LongAdder bytesFromControl; }
    final List<Router> routers = new ArrayList<>();
    Process control;

    Site(Path recordFile) throws IOException {
        folder = Files.createTempDirectory("review-2");
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        note("trouble " + (TROUBLE ? 1 : 0));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
        daemon(() -> {
            try { Thread.sleep(116_000); } catch (InterruptedException ended) { return; }
            note("the case took too long");
            processes.forEach(Process::destroyForcibly);
            Runtime.getRuntime().halt(2);
        });
    }

    synchronized void note(String line) {
        record.printf(Locale.ROOT, "%8.3f %s%n", (System.nanoTime() - begin) / 1e9, line);
    }

    static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) { return socket.getLocalPort(); }
        catch (IOException failure) { throw new UncheckedIOException(failure); }
    }

    /** The command of a role in the deploy file, with the settings file in place of the one of the platform. */
    private List<String> command(String role, Path settings) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (!line.startsWith("run = ") || !line.contains(" " + role + " ")) continue;
            String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            List<String> words = new ArrayList<>(List.of(run.split(" ")));
            words.replaceAll(word -> word.equals("/etc/sniperoute/node.yaml") ? settings.toString() : word);
            if (System.getenv("JAVA_HOME") != null) words.set(0, System.getenv("JAVA_HOME") + "/bin/java");
            return words;
        }
        throw new IOException("the deploy file has no role " + role);
    }

    /** The template of the settings, with the bounds of the sheet of japg-orders. */
    private Path settings(String name, String callers, String readiness, String operatorsAddress, String data, int peerPort) throws IOException {
        String text = "{ \"vm\": \"" + HOST + "\", \"failureDomain\": \"a\", \"peerPort\": " + peerPort + ", \"seeds\": [\"" + HOST + ":" + operators
            + "\"], \"mayForm\": true, \"votersToLose\": 0, \"dataFolder\": \"" + data + "\", \"callers\": \"" + callers + "\", \"readiness\": \""
            + readiness + "\", \"operators\": \"" + operatorsAddress + "\", \"platformList\": \"" + HOST + ":" + listPort + "\","
            + " \"orderRestMilliseconds\": 3000, \"weightsLimitMilliseconds\": 8000, \"graceSeconds\": 8, \"retryRatio\": 0.2, \"retryExtra\": 56,"
            + " \"retryWindowSeconds\": 10, \"allowanceWindowSeconds\": 8, \"allowanceOverage\": 0.1, \"allowanceSlack\": 110000,"
            + " \"descriptors\": 4100, \"servesWithoutLease\": true }";
        return Files.writeString(folder.resolve(name + ".json"), text);
    }

    private Process start(String role, Path settings, Path log) throws IOException {
        Process process = new ProcessBuilder(command(role, settings)).directory(root.toFile())
            .redirectErrorStream(true).redirectOutput(log.toFile()).start();
        processes.add(process);
        note("started " + role + " as process " + process.pid());
        return process;
    }

    void startControl() throws IOException {
        control = start("control", settings("control", "", "", HOST + ":" + operators, folder.resolve("data").toString(), peerPort), folder.resolve("control.log"));
    }

    Router startRouter() throws IOException { return startRouter(peerPort); }

    /** Starts a router whose link to the control process goes over a proxy of so many bits a second in each direction, as its machine's link. */
    Router startRouterBehind(long bitsPerSecond) throws IOException {
        LongAdder toRouter = new LongAdder();
        Router router = startRouter(proxy(bitsPerSecond, toRouter));
        router.bytesFromControl = toRouter;
        return router;
    }

    private int proxy(long bitsPerSecond, LongAdder toRouter) throws IOException {
        ServerSocket server = new ServerSocket(0, 64, InetAddress.getByName(HOST));
        listening.add(server);
        daemon(() -> {
            while (!server.isClosed()) {
                try {
                    Socket near = server.accept(), far = new Socket();
                    far.setReceiveBufferSize(65_536);
                    near.setSendBufferSize(65_536);
                    far.connect(new InetSocketAddress(HOST, peerPort), 1000);
                    near.setTcpNoDelay(true);
                    far.setTcpNoDelay(true);
                    daemon(() -> pass(near, far, bitsPerSecond, new LongAdder()));
                    daemon(() -> pass(far, near, bitsPerSecond, toRouter));
                } catch (IOException refused) { }
            }
        });
        return server.getLocalPort();
    }

    private static void daemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
    }

    /** Passes bytes on at the given rate. */
    private static void pass(Socket from, Socket to, long bitsPerSecond, LongAdder passed) {
        byte[] bytes = new byte[4096];
        long due = System.nanoTime();
        try (from; to) {
            for (int count = from.getInputStream().read(bytes); count >= 0; count = from.getInputStream().read(bytes)) {
                due = Math.max(due, System.nanoTime()) + count * 8_000_000_000L / bitsPerSecond;
                long wait = due - System.nanoTime();
                if (wait > 0) Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
                to.getOutputStream().write(bytes, 0, count);
                passed.add(count);
            }
        } catch (IOException | InterruptedException ended) { /* a side has ended */ }
    }

    Router startRouter(int peerPort) throws IOException {
        Router router = new Router();
        router.peerPort = peerPort;
        router.callers = freePort();
        router.readiness = freePort();
        String name = "router-" + routers.size();
        router.log = folder.resolve(name + ".log");
        router.process = start("router", settings(name, HOST + ":" + router.callers, HOST + ":" + router.readiness, "", "", peerPort), router.log);
        routers.add(router);
        return router;
    }

    /** Kills a router and starts it again, as the platform does. */
    void killAndRestart(Router router) throws Exception {
        router.process.destroyForcibly().waitFor();
        note("killed router " + routers.indexOf(router));
        Thread.sleep(500);
        String name = "router-" + routers.indexOf(router);
        router.process = start("router", folder.resolve(name + ".json"), router.log);
    }

    boolean isReady(Router router) {
        return call(router.readiness, ("GET /api/ready HTTP/1.1\r\nHost: " + HOST + "\r\n\r\n").getBytes(), 1000).status == 200;
    }

    /** Serves the platform's list of the replicas. */
    void startList() throws IOException {
        listPort = serve(0, (socket, request) -> {
            StringJoiner entries = new StringJoiner(",", "{\"instances\":[", "],\"next\":null}");
            for (Replica replica : replicas) entries.add(replica.listEntry());
            answer(socket, 200, "Content-Type: application/json\r\n", entries.toString().getBytes());
        });
    }

    Replica addReplica(String service, int slots, String model) throws IOException {
        Replica replica = new Replica(this, "i-" + service + "-" + replicas.size(), service, slots, model);
        replicas.add(replica);
        return replica;
    }

    /** A request as a server reads it. */
    static final class Request {
        String line; final Map<String, String> headers = new LinkedHashMap<>(); byte[] body = new byte[0];
        String header(String name) { return headers.getOrDefault(name, ""); }
    }
    interface Handler { void handle(Socket socket, Request request) throws Exception; }
    /** Waits before more is read from or written to a connection; a server that falls silent waits here. */
    interface Gate { void pass() throws InterruptedException; }

    int serve(int port, Handler handler) throws IOException { return serve(port, () -> {}, handler); }

    int serve(int port, Gate gate, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket(port, 512, InetAddress.getByName(HOST));
        listening.add(server);
        Thread acceptor = new Thread(() -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    Thread thread = new Thread(() -> connection(socket, gate, handler));
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException ignored) { }
            }
        });
        acceptor.setDaemon(true);
        acceptor.start();
        return server.getLocalPort();
    }

    private void connection(Socket socket, Gate gate, Handler handler) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
            while (true) {
                Request request = read(in, gate);
                if (request == null) return;
                handler.handle(socket, request);
            }
        } catch (Exception ended) { /* the other side has left */ }
    }

    static Request read(InputStream in, Gate gate) throws Exception {
        Request request = new Request();
        request.line = line(in);
        if (request.line == null) return null;
        gate.pass();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            request.headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        if (request.headers.containsKey("content-length")) {
            byte[] body = new byte[Integer.parseInt(request.header("content-length"))];
            for (int got = 0; got < body.length; ) {
                gate.pass();
                int count = in.read(body, got, Math.min(65536, body.length - got));
                if (count < 0) throw new EOFException();
                got += count;
            }
            request.body = body;
        }
        return request;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static void answer(Socket socket, int status, String headers, byte[] body) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        socket.getOutputStream().write(out.toByteArray());
        socket.getOutputStream().flush();
    }

    /** The answer to one request of a client: 0 stands for a channel that ended, -1 for no answer within the time limit. */
    record Answer(int status, String head, byte[] body, double milliseconds) {}

    /** Sends a request on a new channel and reads its answer to the end. */
    static Answer call(int port, byte[] request, int limitMilliseconds) {
        long start = System.nanoTime();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(HOST, port), 1000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(limitMilliseconds);
            socket.getOutputStream().write(request);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String first = line(in);
            if (first == null) return new Answer(0, "", new byte[0], since(start));
            StringBuilder head = new StringBuilder(first);
            int length = -1; boolean chunked = false;
            for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
                head.append(" | ").append(line);
                String lower = line.toLowerCase(Locale.ROOT);
                if (lower.startsWith("content-length:")) length = Integer.parseInt(lower.substring(15).trim());
                if (lower.startsWith("transfer-encoding: chunked")) chunked = true;
            }
            int status = Integer.parseInt(first.split(" ")[1]);
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            if (chunked) {
                while (true) {
                    String size = line(in);
                    if (size == null) return new Answer(0, head.toString(), body.toByteArray(), since(start));
                    int count = Integer.parseInt(size.trim(), 16);
                    if (count == 0) break;
                    body.write(in.readNBytes(count));
                    line(in);
                }
            } else if (length > 0) {
                body.write(in.readNBytes(length));
                if (body.size() < length) return new Answer(0, head.toString(), body.toByteArray(), since(start));
            }
            return new Answer(status, head.toString(), body.toByteArray(), since(start));
        } catch (SocketTimeoutException late) {
            return new Answer(-1, "", new byte[0], since(start));
        } catch (IOException ended) {
            return new Answer(0, "", new byte[0], since(start));
        }
    }

    static double since(long start) { return (System.nanoTime() - start) / 1e6; }

    /** Sends an operator's order until it is acknowledged. */
    boolean order(String path, String body) throws Exception {
        byte[] request = ("POST " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
            + "\r\n\r\n" + body).getBytes(StandardCharsets.ISO_8859_1);
        for (int attempt = 0; attempt < 100; attempt++) {
            Answer answer = call(operators, request, 1000);
            if (answer.status == 200) { note("operator " + path + " 200"); return true; }
            Thread.sleep(150);
        }
        return false;
    }

    boolean awaitReady() throws Exception {
        for (Router router : routers) {
            boolean isReady = false;
            for (int attempt = 0; attempt < 150 && !isReady; attempt++) {
                isReady = call(router.readiness, ("GET /api/ready HTTP/1.1\r\nHost: " + HOST + "\r\n\r\n").getBytes(), 1000).status == 200;
                if (!isReady) Thread.sleep(100);
            }
            if (!isReady) return false;
        }
        return true;
    }

    /** The most resident memory that a process had, in megabytes, or 0 if it has ended. */
    static int residentMegabytes(Process process) {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")))
                if (line.startsWith("VmHWM")) return Integer.parseInt(line.replaceAll("\\D", "")) / 1024;
        } catch (IOException ignored) { }
        return 0;
    }

    static String lastLines(Path log, String pattern, int count) {
        try {
            List<String> lines = new ArrayList<>();
            for (String line : Files.readAllLines(log, StandardCharsets.ISO_8859_1)) if (line.matches(pattern)) lines.add(line);
            return String.join(" / ", lines.subList(Math.max(0, lines.size() - count), lines.size()));
        } catch (IOException failure) { return ""; }
    }

    @Override public void close() {
        processes.forEach(Process::destroyForcibly);
        processes.forEach(process -> { try { process.waitFor(5, TimeUnit.SECONDS); } catch (InterruptedException ignored) { } });
        listening.forEach(server -> { try { server.close(); } catch (IOException ignored) { } });
        try (var files = Files.walk(folder)) { files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete()); }
        catch (IOException ignored) { }
        note("all processes ended");
        record.close();
    }
}

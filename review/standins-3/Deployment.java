import java.nio.file.Path;
import java.util.List;

/** What the cases share: a deployment with its manifest in force, the requests of its clients, and the end of a run. */
final class Deployment {
    static final boolean IS_TROUBLED = !"0".equals(System.getenv("TROUBLE"));
    /** The timeoutMs of the route of plain requests, and how long their requesters wait. */
    static final int PLAIN_TIMEOUT_MS = 1_000;
    static final int PLAIN_LIMIT_MS = 3_000;
    final Infrastructure infrastructure;
    final Machines machines;

    Deployment(Path root, int fronts, Machines.Bounds bounds) throws Exception {
        infrastructure = new Infrastructure();
        machines = new Machines(root, fronts, infrastructure.address, bounds);
    }

    /** Opens the record in the case's folder and runs the case; the exit status is 1 if the rule was broken, 0 if it held, 2 otherwise. */
    static void run(String[] arguments, Case body) {
        Path folder = Path.of(arguments[0]);
        Path root = Path.of(arguments[1]);
        Log.open(folder.resolve("record.txt"));
        Log.line(IS_TROUBLED ? "with the disruption" : "without the disruption");
        int status;
        try {
            status = body.run(root);
        } catch (Throwable failure) {
            Log.line("the case couldn't run: " + failure);
            status = 2;
        }
        System.exit(status);
    }

    interface Case {
        int run(Path root) throws Exception;
    }

    /** Starts all machines and puts the manifest in force; returns whether all fronts are ready in time. */
    boolean start(String manifest) throws Exception {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                machines.stop();
            } catch (Exception failure) {
                System.err.println(failure);
            }
        }));
        machines.startAll();
        Wire.Message answer = machines.operate("POST", "/api/config/put", manifest, Log.now() + 30_000);
        if (answer == null || answer.status() != 200) {
            Log.line("the manifest wasn't acknowledged: " + (answer == null ? "no answer" : answer.first + " " + answer.text()));
            return false;
        }
        Log.line("the manifest is acknowledged");
        long until = Log.now() + 20_000;
        while (Log.now() < until) {
            if (machines.fronts.stream().allMatch(machines::isReady)) {
                Log.line("all fronts are ready");
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    static String route(String name, String host, String prefix, String kind, int timeoutMs, int targetMs, String service, int attempts) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + host + "\",\"pathPrefix\":\"" + prefix + "\",\"kind\":\"" + kind + "\",\"timeoutMs\":" + timeoutMs
            + ",\"targetLatencyMs\":" + targetMs + ",\"priority\":0,\"service\":\"" + service + "\",\"maxAttempts\":" + attempts
            + ",\"anonymous\":false,\"sticky\":" + kind.equals("streaming") + ",\"resumable\":false,\"targetGapMs\":300}";
    }

    /** A manifest as the pages show it, with one tenant whose limit nobody reaches. */
    static String manifest(List<String> routes) {
        return "{\"version\":7,\"routes\":[" + String.join(",", routes) + "],\"services\":["
            + "{\"name\":\"writers\",\"healthPath\":\"/health\",\"maxConns\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,"
            + "\"kvCapacity\":119677,\"kvTokenBytes\":163840,\"linkMbps\":130000.0,\"moves\":true,\"backups\":true,\"stride\":4,\"maxConcurrent\":12,"
            + "\"pinMs\":4000.0,\"holdMs\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m1\"}]}},"
            + "{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":96,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"k1\"],\"priority\":1,\"unit\":\"tokens\",\"plainTokens\":200,\"isolated\":false,"
            + "\"ratePerS\":5000000,\"burst\":5000000}]}";
    }

    private static int lastRequest;

    static synchronized String newId() {
        lastRequest += 1;
        return String.format("%08x%08x", ProcessHandle.current().pid(), lastRequest);
    }

    static String plainRequest(String id) {
        return "GET /desk/" + id + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + PLAIN_LIMIT_MS + "\r\nAuthorization: Token k1\r\n\r\n";
    }

    /** A request for a short text, whose prompt shares a part with others. */
    static String writerRequest(String id, int deadlineMs) {
        String body = "a prompt";
        int shared = Math.floorMod(id.hashCode(), 20) + 1;
        return "POST /note/" + id + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id + "\r\nModel: m1\r\nToken-Usage: 826,73\r\nPrefix-Hash: "
            + Integer.toHexString(shared) + ":119," + Integer.toHexString(1_000 + shared) + ":79," + id + ":628\r\nDeadline-Ms: " + deadlineMs
            + "\r\nAuthorization: Token k1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }
}

import java.io.IOException;
import java.net.Socket;
import java.util.HashSet;
import java.util.Map;
import java.util.HashMap;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Case 11: a tenant that has shared its parts becomes isolated; the requests of others must not use what it made. */
public final class KeptParts {
    private static final int CONFIG_APPLY_MS = 2_000;
    private static final int SHARED_TOKENS = 2_520;
    private static final int REQUESTS = 10;

    private KeptParts() {
    }

    /** The tenants that are isolated by the manifest that is in force everywhere. */
    private static final Set<String> ISOLATED = ConcurrentHashMap.newKeySet();
    private static final Set<String> BREAKS = ConcurrentHashMap.newKeySet();

    /** A replica that keeps the parts of prompts under their salt, as the pages say, and knows which tenant's request made each. */
    private static final class Keeping extends Replica {
        private final Map<String, String> makers = new HashMap<>();

        Keeping(String id, String host) throws IOException {
            super(id, "writers", "m1", host, 64, 360);
        }

        @Override
        void run(Wire.Message request, Socket socket) throws IOException {
            use(request);
            super.run(request, socket);
        }

        private synchronized void use(Wire.Message request) {
            String tenant = request.header("tenant");
            String chain = request.header("model") + " " + request.header("cache-salt");
            Set<String> usedOf = new HashSet<>();
            for (String part : request.header("prefix-hash").split(",")) {
                chain += " " + part;
                String maker = makers.putIfAbsent(chain, tenant);
                if (maker != null && !maker.equals(tenant)) {
                    usedOf.add(maker);
                    if (ISOLATED.contains(maker) || ISOLATED.contains(tenant)) {
                        BREAKS.add(request.header("request-id"));
                        Log.line("WALL: request " + request.header("request-id") + " of " + tenant + " uses part " + part + " that a request of " + maker
                            + " made at " + id + "; isolated now: " + ISOLATED);
                    }
                }
            }
            Log.detail("replica " + id + " runs request " + request.header("request-id") + " of " + tenant + " with salt " + request.header("cache-salt")
                + ", using parts of " + usedOf);
        }
    }

    private static String manifest(int version, boolean isIsolated) {
        String one = Deployment.manifest(List.of(
            Deployment.route("r-note", "a.example", "/note/", "streaming", 15_000, 800, "writers", 1),
            Deployment.route("r-desk", "a.example", "/desk/", "safe", 1_000, 100, "desk", 2)));
        String tenant = "{\"name\":\"t2\",\"apiKeys\":[\"k2\"],\"priority\":1,\"unit\":\"tokens\",\"plainTokens\":200,\"isolated\":" + isIsolated
            + ",\"ratePerS\":5000000,\"burst\":5000000}]}";
        return one.replace("\"version\":7", "\"version\":" + version).replaceAll("]}$", "," + tenant);
    }

    /** Sends requests of a tenant whose prompts begin with the same part; returns how many were answered in full. */
    private static int send(Deployment deployment, String key) throws InterruptedException {
        int whole = 0;
        for (int i = 0; i < REQUESTS; i++) {
            Machines.Machine front = deployment.machines.fronts.get(i % deployment.machines.fronts.size());
            String id = Deployment.newId();
            String head = "POST /note/" + id + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id + "\r\nModel: m1\r\nToken-Usage: 3148,73\r\nPrefix-Hash: "
                + "a1:" + SHARED_TOKENS + "," + id + ":628\r\nDeadline-Ms: 15000\r\nAuthorization: Token " + key + "\r\nContent-Length: 0\r\n\r\n";
            try {
                Wire.Message answer = Wire.call(front.address, front.servicePort, head, new byte[0], 15_000);
                Log.detail("request " + id + " with key " + key + " is answered " + answer.status());
                whole += answer.status() == 200 ? 1 : 0;
            } catch (IOException failure) {
                Log.detail("request " + id + " with key " + key + ": " + failure);
            }
            Thread.sleep(50);
        }
        return whole;
    }

    public static void main(String[] arguments) {
        Deployment.run(arguments, root -> {
            Deployment deployment = new Deployment(root, 2, new Machines.Bounds());
            for (int i = 1; i <= 3; i++) {
                deployment.infrastructure.replicas.add(new Keeping("i-w" + i, "127.0.3.1" + i));
            }
            deployment.infrastructure.replicas.add(new Replica("i-d1", "desk", "", "127.0.3.21", 6, 96));
            if (!deployment.start(manifest(7, false))) {
                return 2;
            }
            Thread.sleep(3_000);
            int before = send(deployment, "k2") + send(deployment, "k1");
            Log.line(before + " requests of t2 and t1 answered; both share their parts, as the manifest allows");
            if (before < REQUESTS) {
                return 2;
            }
            Wire.Message answer = deployment.machines.operate("POST", "/api/config/put", manifest(9, Deployment.IS_TROUBLED), Log.now() + 10_000);
            if (answer == null || answer.status() != 200) {
                return 2;
            }
            Log.line((Deployment.IS_TROUBLED ? "trouble: version 9, by which t2 is isolated" : "version 9, which changes nothing") + ", is acknowledged");
            Thread.sleep(CONFIG_APPLY_MS + 1_000);
            if (Deployment.IS_TROUBLED) {
                ISOLATED.add("t2");
            }
            int after = send(deployment, "k1");
            Log.line(after + " requests of t1 answered");
            Log.line((BREAKS.isEmpty() ? "kept: " : "BROKEN: WALL, ") + BREAKS.size() + " requests used what a request of another tenant made, one of the two isolated");
            return BREAKS.isEmpty() ? 0 : 1;
        });
    }
}

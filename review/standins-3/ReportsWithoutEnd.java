import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Case 12: three of nine replicas answer the question for their report with bytes without end. */
public final class ReportsWithoutEnd {
    private static final int REPLICAS = 9;
    private static final int FAULTY = 3;
    /** What a faulty replica sends on each channel, until the caller closes it. */
    private static final int BYTES = 65_536;
    private static final int PAUSE_MS = 100;
    private static final long LENGTH_MS = 95_000;

    private ReportsWithoutEnd() {
    }

    private static volatile boolean isFaulty;

    /** A replica whose reports have no end. */
    private static final class Faulty extends Replica {
        Faulty(String id, String host) throws IOException {
            super(id, "writers", "m1", host, 64, 360);
        }

        @Override
        void report(Wire.Message request, Socket socket) throws IOException {
            if (!isFaulty) {
                super.report(request, socket);
                return;
            }
            Log.detail("replica " + id + " is asked for its report, and answers without end; " + channels.get() + " channels are open");
            long sent = 0;
            try {
                OutputStream out = socket.getOutputStream();
                Wire.write(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n", new byte[0]);
                byte[] chunk = (Integer.toHexString(BYTES) + "\r\n" + "x".repeat(BYTES) + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
                while (true) {
                    out.write(chunk);
                    sent += BYTES;
                    pause(PAUSE_MS);
                }
            } finally {
                Log.detail("a channel of a report of " + id + " ended after " + sent + " bytes");
            }
        }
    }

    public static void main(String[] arguments) {
        Deployment.run(arguments, root -> {
            Deployment deployment = new Deployment(root, 2, new Machines.Bounds());
            List<Replica> replicas = new ArrayList<>();
            for (int i = 1; i <= REPLICAS; i++) {
                String host = "127.0.3.1" + i;
                replicas.add(i <= FAULTY ? new Faulty("i-w" + i, host) : new Replica("i-w" + i, "writers", "m1", host, 64, 360));
            }
            deployment.infrastructure.replicas.addAll(replicas);
            deployment.infrastructure.replicas.add(new Replica("i-d1", "desk", "", "127.0.3.21", 6, 96));
            boolean isStarted = deployment.start(Deployment.manifest(List.of(
                Deployment.route("r-note", "a.example", "/note/", "streaming", 15_000, 800, "writers", 1),
                Deployment.route("r-desk", "a.example", "/desk/", "safe", 1_000, 100, "desk", 2))));
            if (!isStarted) {
                return 2;
            }
            Requesters requesters = new Requesters(deployment, 8, 500);
            Thread.sleep(4_000);
            isFaulty = Deployment.IS_TROUBLED;
            if (isFaulty) {
                Log.line("trouble: the reports of " + FAULTY + " of " + REPLICAS + " replicas have no end");
            }
            Wire.Message answer = deployment.machines.operate("POST", "/api/version-put", "{\"model\":\"m1\",\"version\":2}", Log.now() + 8_000);
            Log.line("version 2 is named: " + (answer == null ? "no clear answer" : answer.first));
            long end = Log.now() + LENGTH_MS;
            while (Log.now() < end && deployment.machines.core.stream().filter(machine -> machine.ownEnds >= 3).count() < 2) {
                Thread.sleep(100);
            }
            requesters.stop();
            Log.line("sound replicas with version 2: " + replicas.stream().filter(replica -> !(replica instanceof Faulty) && replica.version == 2).count());
            return Ends.judgeEnds(deployment);
        });
    }
}

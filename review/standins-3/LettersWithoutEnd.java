import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 13: now and then one of three replicas answers with bytes without end, each in a chunk of its own. */
public final class LettersWithoutEnd {
    private static final int FRONTS = 2;
    private static final int CHANNELS_TO_EACH_FRONT = 24;
    private static final long PAUSE_MS = 300;
    /** The share of the answers of the faulty replica that have no end. */
    private static final int ONE_IN = 34;
    private static final long LENGTH_MS = 90_000;

    private LettersWithoutEnd() {
    }

    /** A replica that spoils one in 34 of its answers, as long as it is faulty. */
    private static final class Faulty extends Replica {
        private final AtomicInteger answers = new AtomicInteger();
        private final byte[] letters = "1\r\nx\r\n".repeat(2_000).getBytes(StandardCharsets.ISO_8859_1);
        volatile boolean isFaulty;

        Faulty(String id, String host) throws IOException {
            super(id, "writers", "m1", host, 64, 360);
        }

        @Override
        void run(Wire.Message request, Socket socket) throws IOException {
            if (!isFaulty || answers.incrementAndGet() % ONE_IN != 0) {
                super.run(request, socket);
                return;
            }
            Log.line("replica " + id + " answers request " + request.header("request-id") + " without end");
            long sent = 0;
            long start = Log.now();
            try {
                OutputStream out = socket.getOutputStream();
                Wire.write(out, "HTTP/1.1 200 OK\r\n" + receipt(request) + "Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n", new byte[0]);
                while (true) {
                    out.write(letters);
                    sent += 2_000;
                }
            } finally {
                Log.line("the channel of request " + request.header("request-id") + " ended after " + sent + " letters in " + (Log.now() - start) + " ms");
            }
        }
    }

    public static void main(String[] arguments) {
        Deployment.run(arguments, root -> {
            Deployment deployment = new Deployment(root, FRONTS, new Machines.Bounds());
            Faulty faulty = new Faulty("i-w1", "127.0.3.11");
            deployment.infrastructure.replicas.addAll(List.of(
                faulty,
                new Replica("i-w2", "writers", "m1", "127.0.3.12", 64, 360),
                new Replica("i-w3", "writers", "m1", "127.0.3.13", 64, 360),
                new Replica("i-d1", "desk", "", "127.0.3.21", 6, 96),
                new Replica("i-d2", "desk", "", "127.0.3.22", 6, 96)));
            boolean isStarted = deployment.start(Deployment.manifest(List.of(
                Deployment.route("r-note", "a.example", "/note/", "streaming", 15_000, 800, "writers", 1),
                Deployment.route("r-desk", "a.example", "/desk/", "safe", 1_000, 100, "desk", 2))));
            if (!isStarted) {
                return 2;
            }
            Requesters requesters = new Requesters(deployment, CHANNELS_TO_EACH_FRONT, PAUSE_MS);
            Thread.sleep(5_000);
            if (requesters.whole.get() == 0) {
                Log.line("nothing is served");
                return 2;
            }
            faulty.isFaulty = Deployment.IS_TROUBLED;
            if (faulty.isFaulty) {
                Log.line("trouble: replica i-w1 now answers one in " + ONE_IN + " requests without end");
            }
            long end = Log.now() + LENGTH_MS;
            while (Log.now() < end && deployment.machines.all().stream().mapToInt(machine -> machine.ownEnds).sum() < 2) {
                Thread.sleep(100);
            }
            requesters.stop();
            return Ends.judgeAnswers(deployment, requesters);
        });
    }
}

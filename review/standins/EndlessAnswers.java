import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/** Case: one of three replicas of a streaming service answers a few requests with bytes that do not end until the caller closes. */
final class EndlessAnswers {
    /** How many answers do not end, and how many MiB a second each of them brings. */
    private static final int ENDLESS = Integer.getInteger("endless", 12);
    private static final int RATE = Integer.getInteger("rate", 4);
    private static final int NOTE_TIMEOUT = 15_000;

    /** A requester leaves a stream that has brought nothing for the longest of two seconds, four objectives and eight pauses. */
    private static final int NOTE_PATIENCE = 3_200;
    private static final int APP_TIMEOUT = 1_000;
    private static final int APP_LIMIT = 2_000;

    public static void main(String[] arguments) throws Exception {
        Rig.run(arguments[0], EndlessAnswers::play);
    }

    private static boolean play(Rig rig) throws Exception {
        AtomicInteger left = new AtomicInteger();
        Rig.Work stream = EndlessAnswers.stream(rig);
        rig.new Replica("n-1", "notes", 64, stream);
        rig.new Replica("n-2", "notes", 64, stream);
        rig.new Replica("n-3", "notes", 64, (run, channel) ->
            left.getAndUpdate(it -> Math.max(0, it - 1)) > 0 ? endless(rig, run, channel) : stream.answer(run, channel));
        for (int n = 1; n <= 3; n++) rig.new Replica("a-" + n, "app", 6, rig.sound(15));
        Rig.Proc control = rig.control();
        Rig.Proc router = rig.router(1);
        control.start();
        router.start();
        control.watch();
        router.watch();
        List<String> routes = List.of(
            Rig.route("note", "/note/", "streaming", NOTE_TIMEOUT, 800, 1, "notes", ",\"resumable\":false,\"targetGapMs\":300"),
            Rig.route("confirm", "/confirm/", "unsafe", APP_TIMEOUT, 100, 1, "app", ""),
            Rig.route("lookup", "/lookup/", "safe", APP_TIMEOUT, 100, 2, "app", ""));
        String manifest = Rig.manifest(1, routes, List.of(Rig.service("notes"), Rig.service("app")));
        if (!rig.put(manifest, 15)) throw new IllegalStateException("no ack of the manifest");
        rig.waitUntilReady(router, 15);
        List<Rig.Attempt> notes = Collections.synchronizedList(new ArrayList<>());
        List<Rig.Attempt> app = Collections.synchronizedList(new ArrayList<>());
        boolean[] isOver = {false};
        List<Thread> requesters = new ArrayList<>();
        for (int n = 0; n < 24; n++) {
            int number = n;
            requesters.add(Rig.daemon(() -> requester(rig, router, notes, isOver, 50, channel ->
                channel.call("POST", "/note/" + number, "", NOTE_TIMEOUT, NOTE_PATIENCE, Rig.bytes("note " + number)))));
        }
        for (int n = 0; n < 8; n++) {
            int number = n;
            requesters.add(Rig.daemon(() -> requester(rig, router, app, isOver, 400, channel -> number % 2 == 0
                ? channel.call("POST", "/confirm/" + number, "", APP_LIMIT, APP_LIMIT, Rig.bytes("confirm " + number))
                : channel.call("GET", "/lookup/" + number, "", APP_LIMIT, APP_LIMIT, new byte[0]))));
        }
        while (answersOf(rig) < ENDLESS * 50 && rig.now() < 60) Thread.sleep(20);
        rig.note("trouble begins: of the answers of replica n-3, the next " + ENDLESS + " do not end; it has given " + answersOf(rig)
            + " others so far");
        if (rig.trouble) left.set(ENDLESS);
        Thread.sleep(6_000);
        double since = rig.now();
        rig.note("all endless answers have been left by their requesters for two seconds; what is sent from now on is judged");
        Thread.sleep(14_000);
        rig.note("the router answers GET /api/ready with 200: " + rig.isReady(router));
        isOver[0] = true;
        for (Thread thread : requesters) thread.join(5_000);
        // CONFIG: of the requests that are still unanswered at their route's timeoutMs, more than half have no answer half a second later;
        // eight or more of them, and over a quarter.
        int sent = 0;
        int late = 0;
        int unanswered = 0;
        for (Rig.Attempt attempt : new ArrayList<>(app)) {
            if (attempt.sent < since) continue;
            sent += 1;
            double lasted = attempt.ended - attempt.sent;
            if (attempt.status != 0 && lasted >= APP_TIMEOUT / 1000.0) late += 1;
            if (attempt.status != 0 && lasted >= APP_TIMEOUT / 1000.0 + 0.5) unanswered += 1;
        }
        rig.note(String.format(Locale.ROOT, "requests to the sound service: %d sent, %d unanswered at timeoutMs, %d of these also half a "
            + "second later; the router's process is alive: %s, it ended by itself %d times", sent, late, unanswered,
            router.process.isAlive(), router.ownEnds));
        for (String line : router.log().split("\n")) {
            if (line.contains("OutOfMemory") || line.contains("DUTY_FAILED")) rig.note("log of the router: " + line);
        }
        return unanswered >= 8 && unanswered * 2 > late;
    }

    private static long answersOf(Rig rig) {
        return rig.runs.values().stream().flatMap(List::stream).filter(it -> it.replica.equals("n-3") && it.isAnswered).count();
    }

    /** Work of a sound replica: five events in some 60 ms, in chunks. */
    private static Rig.Work stream(Rig rig) {
        return (run, channel) -> {
            var out = channel.getOutputStream();
            out.write(Rig.bytes(rig.headOf(run, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")));
            for (int n = 1; n <= 5; n++) {
                Thread.sleep(12);
                String event = "id: " + n + "\ndata: piece " + n + " of " + run.id + "\n\n";
                out.write(Rig.bytes(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
                out.flush();
            }
            out.write(Rig.bytes("0\r\n\r\n"));
            out.flush();
            run.isAnswered = true;
            return true;
        };
    }

    private static boolean endless(Rig rig, Rig.Run run, Socket channel) throws Exception {
        rig.note("replica " + run.replica + " answers " + run.id + " without end");
        var out = channel.getOutputStream();
        byte[] block = new byte[64 * 1024];
        Arrays.fill(block, (byte) 'x');
        double start = rig.now();
        long sent = 0;
        try {
            out.write(Rig.bytes(rig.headOf(run, "Content-Type: text/plain\r\n")));
            while (true) {
                out.write(block);
                sent += block.length;
                double ahead = sent / (RATE * 1048576.0) - (rig.now() - start);
                if (ahead > 0.002) Thread.sleep((long) (ahead * 1000));
            }
        } finally {
            rig.note("the caller closed the endless answer to " + run.id + " after " + sent / 1048576 + " MiB");
        }
    }

    private interface Call {
        Rig.Attempt on(Rig.Channel channel);
    }

    private static void requester(Rig rig, Rig.Proc router, List<Rig.Attempt> attempts, boolean[] isOver, int pause, Call call)
        throws Exception {
        while (!isOver[0]) {
            try (Rig.Channel channel = rig.new Channel(router.callers)) {
                while (!isOver[0]) {
                    Rig.Attempt attempt = call.on(channel);
                    attempts.add(attempt);
                    if (!channel.mayGoOn(attempt)) break;
                    Thread.sleep(pause);
                }
            } catch (IOException refused) {
                Thread.sleep(200);
            }
            Thread.sleep(100);
        }
    }
}

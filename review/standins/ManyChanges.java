import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;

/** Case: the manifest grows by many routes, some hundred changes of it follow, and then all processes are killed once. */
final class ManyChanges {
    /** By how many routes the manifest grows, how many changes follow, and the pause between two of them. */
    private static final int ROUTES = Integer.getInteger("routes", 1400);
    private static final int CHANGES = Integer.getInteger("changes", 110);
    private static final int PAUSE = Integer.getInteger("pause", 600);

    /** The bounds of the installation. */
    private static final double RECOVER = 15;
    private static final double CONTACT = 4;

    public static void main(String[] arguments) throws Exception {
        Rig.run(arguments[0], ManyChanges::play);
    }

    private static boolean play(Rig rig) throws Exception {
        for (int n = 1; n <= 3; n++) rig.new Replica("a-" + n, "app", 6, rig.sound(15));
        Rig.Proc control = rig.control();
        Rig.Proc router = rig.router(1);
        control.start();
        router.start();
        control.watch();
        router.watch();
        if (!rig.put(manifest(1, 0), 15)) throw new IllegalStateException("no ack of the first manifest");
        rig.waitUntilReady(router, 15);
        List<Rig.Attempt> attempts = Collections.synchronizedList(new ArrayList<>());
        boolean[] isOver = {false};
        Thread requester = Rig.daemon(() -> requester(rig, router, attempts, isOver));
        int grown = rig.trouble ? ROUTES : 0;
        rig.note("the manifest grows by " + grown + " routes to " + manifest(2, grown).length() + " bytes; " + CHANGES + " changes follow");
        long newest = 1;
        for (int n = 2; n <= CHANGES + 1; n++) {
            double sent = rig.now();
            if (!rig.put(manifest(n, grown), 12)) throw new IllegalStateException("no ack of change " + n);
            newest = n;
            rig.note(String.format(Locale.ROOT, "version %d acknowledged after %.3f s", n, rig.now() - sent));
            long rest = (long) (PAUSE - (rig.now() - sent) * 1000);
            if (rest > 0) Thread.sleep(rest);
        }
        rig.note("the data folder of the control machine has " + rig.dataBytes() / 1024 + " KiB");
        if (rig.trouble) {
            rig.note("the final fault: all processes are killed right after the ack, and are back within a second");
            control.kill();
            router.kill();
            Thread.sleep(900);
            control.start();
            router.start();
            control.watch();
            router.watch();
        }
        double back = rig.now();
        // LOST: after the final fault, what was acknowledged is gone: the operator reads it back repeatedly, past recoverS for contactMs.
        long read = 0;
        while (rig.now() < back + RECOVER + CONTACT) {
            Rig.Message answer = rig.operator("GET", "/api/config/get", new byte[0], 1_000);
            String shown = answer == null ? "no answer" : String.valueOf(answer.status());
            if (answer != null && answer.status() == 200) {
                String text = answer.text();
                read = Long.parseLong(text.substring(11, text.indexOf(',')));
                shown += ", version " + read;
            }
            rig.note("the operator reads the manifest back: " + shown);
            Thread.sleep(1_000);
        }
        isOver[0] = true;
        requester.join(3_000);
        long before = attempts.stream().filter(it -> it.sent < back - 1).count();
        long servedBefore = attempts.stream().filter(it -> it.sent < back - 1 && it.status == 200).count();
        long after = attempts.stream().filter(it -> it.sent > back + RECOVER).count();
        long servedAfter = attempts.stream().filter(it -> it.sent > back + RECOVER && it.status == 200).count();
        rig.note("the newest acknowledged version is " + newest + ", the version read back at the end " + (read == 0 ? "none" : read));
        rig.note("requests served before: " + servedBefore + " of " + before + "; later than recoverS after: " + servedAfter + " of " + after);
        rig.note("the control process ended by itself " + control.ownEnds + " times, the router " + router.ownEnds + " times");
        String[] log = control.log().split("\n");
        long ends = List.of(log).stream().filter(it -> it.contains("OutOfMemory")).count();
        rig.note("lines with OutOfMemoryError in the log of the control process: " + ends);
        return read < newest;
    }

    private static void requester(Rig rig, Rig.Proc router, List<Rig.Attempt> attempts, boolean[] isOver) throws Exception {
        while (!isOver[0]) {
            try (Rig.Channel channel = rig.new Channel(router.callers)) {
                while (!isOver[0]) {
                    Rig.Attempt attempt = channel.call("GET", "/lookup/1", "", 1_000, 1_500, new byte[0]);
                    attempts.add(attempt);
                    Thread.sleep(500);
                    if (!channel.mayGoOn(attempt)) break;
                }
            } catch (IOException refused) {
                Rig.Attempt attempt = new Rig.Attempt("none", false, rig.now());
                attempt.status = 0;
                attempts.add(attempt);
                Thread.sleep(500);
            }
        }
    }

    private static String manifest(long version, int more) {
        List<String> routes = new ArrayList<>();
        routes.add(Rig.route("confirm", "/confirm/", "unsafe", (int) (1000 + version % 7), 100, 1, "app", ""));
        routes.add(Rig.route("lookup", "/lookup/", "safe", 1000, 100, 2, "app", ""));
        for (int n = 0; n < more; n++) routes.add(Rig.route("r-more" + n, "/more" + n + "/idle/", "safe", 1000, 100, 2, "app", ""));
        return Rig.manifest(version, routes, List.of(Rig.service("app")));
    }
}

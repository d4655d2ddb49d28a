import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;

/** Case: a new manifest allows longer bodies, and requesters with kept channels send them. */
final class OldLimits {
    private static final int OLD_LIMIT = 65_536;
    private static final int NEW_LIMIT = 4_194_304;
    private static final int BYTES = 110_000;
    private static final double CONFIG_APPLY = 2;

    public static void main(String[] arguments) throws Exception {
        Rig.run(arguments[0], OldLimits::play);
    }

    private static boolean play(Rig rig) throws Exception {
        for (int n = 1; n <= 3; n++) rig.new Replica("a-" + n, "app", 6, rig.sound(15));
        Rig.Proc control = rig.control();
        Rig.Proc router = rig.router(1);
        control.start();
        router.start();
        control.watch();
        router.watch();
        if (!rig.put(manifest(1, rig.trouble ? OLD_LIMIT : NEW_LIMIT), 15)) throw new IllegalStateException("no ack of the manifest");
        rig.waitUntilReady(router, 15);
        List<Rig.Attempt> attempts = Collections.synchronizedList(new ArrayList<>());
        boolean[] isOver = {false};
        int[] length = {600};
        List<Thread> requesters = new ArrayList<>();
        for (int n = 0; n < 8; n++) requesters.add(Rig.daemon(() -> requester(rig, router, attempts, isOver, length)));
        Thread.sleep(6_000);
        if (!rig.put(manifest(2, NEW_LIMIT), 10)) throw new IllegalStateException("no ack of the second manifest");
        double ack = rig.now();
        rig.note("version 2 is acknowledged: maxBodyBytes is " + NEW_LIMIT + " from now on");
        Thread.sleep((long) (CONFIG_APPLY * 1000) + 1_000);
        rig.note("more than configApplyMs later, requests have bodies of " + BYTES + " bytes");
        length[0] = BYTES;
        Thread.sleep(10_000);
        isOver[0] = true;
        for (Thread thread : requesters) thread.join(3_000);
        // DENIED: more than 5 + one in 500 of all requests end with a 4xx of the system's own though every manifest that may be in force
        // allows them.
        List<Rig.Attempt> all = new ArrayList<>(attempts);
        long denied = all.stream().filter(it -> it.sent > ack + CONFIG_APPLY && it.status == 413).count();
        long served = all.stream().filter(it -> it.sent > ack + CONFIG_APPLY && it.status == 200).count();
        rig.note("requests " + all.size() + "; later than configApplyMs after the ack: " + denied + " ended with 413, " + served + " with 200");
        try (Rig.Channel channel = rig.new Channel(router.callers)) {
            Rig.Attempt fresh = channel.call("POST", "/confirm/1", "", 2_000, 2_500, new byte[BYTES]);
            rig.note("the same request on a new channel: " + fresh.status);
        }
        return denied > 5 + all.size() / 500.0;
    }

    private static String manifest(long version, int limit) {
        List<String> routes = List.of(Rig.route("confirm", "/confirm/", "unsafe", 1000, 100, 1, "app", ""));
        return Rig.manifest(version, routes, List.of(Rig.service("app"))).replace("\"maxBodyBytes\":4194304", "\"maxBodyBytes\":" + limit);
    }

    private static void requester(Rig rig, Rig.Proc router, List<Rig.Attempt> attempts, boolean[] isOver, int[] length) throws Exception {
        while (!isOver[0]) {
            try (Rig.Channel channel = rig.new Channel(router.callers)) {
                while (!isOver[0]) {
                    byte[] body = new byte[length[0]];
                    Arrays.fill(body, (byte) 'b');
                    Rig.Attempt attempt = channel.call("POST", "/confirm/1", "", 2_000, 2_500, body);
                    attempts.add(attempt);
                    if (!channel.mayGoOn(attempt)) break;
                    Thread.sleep(400);
                }
            } catch (IOException refused) {
                Thread.sleep(200);
            }
        }
    }
}

import java.nio.file.Path;
import java.util.*;

/** CONFIG: the manifest grows by many routes, while the routers' machines have links of 7 Mbit/s. */
public final class Growth {
    static final int ADDED = Site.TROUBLE ? 1400 : 40;
    static final long LINK = 7_000_000;
    static final long APPLY_MILLISECONDS = 2500;
    static final int SECONDS = 30;

    public static void main(String[] arguments) throws Exception {
        int status = 2;
        try (Site site = new Site(Path.of(arguments[0]))) { status = run(site); }
        System.exit(status);
    }

    static String manifest(int version, int added) {
        StringJoiner routes = new StringJoiner(",");
        for (int i = 0; i < added; i++) routes.add("{\"name\":\"r-" + Integer.toString(1_000_000 + 7919 * i, 36) + "\",\"host\":\"shop.example\",\"pathPrefix\":\"/added" + i
            + "/x/\",\"kind\":\"safe\",\"timeoutMs\":1041,\"targetLatencyMs\":147,\"priority\":2,\"service\":\"book\",\"maxAttempts\":2,\"anonymous\":false,\"sticky\":false,\"resumable\":false}");
        String base = Uploads.MANIFEST.replace("\"version\":1", "\"version\":" + version);
        return added == 0 ? base : base.replace("\"routes\":[", "\"routes\":[" + routes + ",");
    }

    static int run(Site site) throws Exception {
        site.startList();
        for (int i = 0; i < 3; i++) site.addReplica("book", 6, null);
        site.startControl();
        for (int i = 0; i < 2; i++) site.startRouterBehind(LINK);
        if (!site.order("/api/config/put", manifest(3, 0)) || !site.awaitReady()) return 2;
        Thread.sleep(3000);
        for (Site.Router router : site.routers)
            if (Site.call(router.callers, Heads.head("GET /status/1", 1, 1000, ""), 1000).status() != 200) { site.note("no calm"); return 2; }
        String grown = manifest(8, ADDED);
        site.note("the manifest grows by " + ADDED + " routes to " + grown.length() + " bytes");
        if (!site.order("/api/config/put", grown)) return 2;
        long acked = System.nanoTime();
        int[] sent = new int[2], old = new int[2];
        int number = 100;
        while (Site.since(acked) < SECONDS * 1000) {
            Thread.sleep(500);
            boolean isDue = Site.since(acked) > APPLY_MILLISECONDS;
            for (int i = 0; i < 2; i++) {
                int route = number % ADDED;
                Site.Answer answer = Site.call(site.routers.get(i).callers, Heads.head("GET /added" + route + "/x/1", number++, 1000, ""), 1000);
                Site.Answer first = Site.call(site.routers.get(i).callers, Heads.head("GET /status/1", number++, 1000, ""), 1000);
                site.note("router " + i + ", " + (int) Site.since(acked) + " ms after the ack: added route " + answer.status() + ", first route " + first.status() + ", ready " + site.isReady(site.routers.get(i)));
                if (isDue) { sent[i]++; if (answer.status() == 404) old[i]++; }
            }
        }
        site.note("requests on added routes sent later than " + APPLY_MILLISECONDS + " ms after the ack: " + Arrays.toString(sent) + ", answered 404: " + Arrays.toString(old));
        site.note("bytes from control to each router: " + site.routers.stream().map(router -> router.bytesFromControl.sum()).toList());
        site.killAndRestart(site.routers.get(0));
        long restarted = System.nanoTime();
        boolean isReady = false;
        while (!isReady && Site.since(restarted) < 25_000) { Thread.sleep(500); isReady = site.isReady(site.routers.get(0)); }
        site.note("router 0 " + (isReady ? "is ready " + (int) Site.since(restarted) + " ms" : "isn't ready 25 s") + " after its restart");
        site.note("control " + site.control.isAlive() + ", " + Site.residentMegabytes(site.control) + " MB at most");
        return old[0] + old[1] > 0 ? 1 : 0;
    }
}

import java.io.*;
import java.net.Socket;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Starved: one of six routers freezes for a moment while many users come at once; after that, a service gets no request any more. */
public final class Frozen {
    static final int ROUTERS = 6, CONFIRMATIONS = 20, REPLIES = 44, FREEZE_MILLISECONDS = 1100, MOST_FREEZES = 36;

    public static void main(String[] arguments) throws Exception {
        int status = 2;
        try (Site site = new Site(Path.of(arguments[0]))) { status = run(site); }
        System.exit(status);
    }

    static int run(Site site) throws Exception {
        long begun = System.nanoTime();
        site.startList();
        for (int i = 0; i < 3; i++) site.addReplica("book", 6, null);
        for (int i = 0; i < 3; i++) site.addReplica("desk", 64, "m");
        site.startControl();
        for (int i = 0; i < ROUTERS; i++) site.startRouter();
        Site.Router frozen = site.routers.get(0);
        if (!site.order("/api/config/put", Heads.MANIFEST) || !site.awaitReady()) return 2;
        Thread.sleep(2000);
        int number = 0, calm = 0;
        for (int i = 0; i < 600; i++) if (Site.call(site.routers.get(i % ROUTERS).callers, request(i, ++number), 1000).status() == 200) calm++;
        if (calm < 580) { site.note("no calm: " + calm); return 2; }
        Process signals = new ProcessBuilder("sh", "-c", "while read name; do kill -$name $0; done", "" + frozen.process.pid()).start();
        try (PrintStream signal = new PrintStream(signals.getOutputStream(), true)) {
            for (int freeze = 0, unserved = 0; freeze < MOST_FREEZES && unserved < 2 && Site.since(begun) < 82_000; freeze++) {
                double offset = 1 + freeze * 2.3 % 7; // when the router freezes after the crowd has come

                List<Socket> sockets = new ArrayList<>();
                List<byte[]> requests = new ArrayList<>();
                for (int i = 0; i < CONFIRMATIONS + REPLIES; i++) {
                    sockets.add(new Socket(Site.HOST, frozen.callers));
                    requests.add(i < CONFIRMATIONS ? request(0, ++number) : request(2, ++number));
                }
                Thread.sleep(100);
                for (int i = 0; i < requests.size(); i++) sockets.get(i).getOutputStream().write(requests.get(i));
                long come = System.nanoTime();
                while (Site.since(come) < offset) Thread.onSpinWait();
                if (Site.TROUBLE) signal.println("STOP");
                Thread.sleep(1000);
                for (Socket socket : sockets) socket.close(); // their time limit is over
                Thread.sleep(FREEZE_MILLISECONDS - 1000);
                if (Site.TROUBLE) signal.println("CONT");
                site.note("a crowd of " + requests.size() + " came; " + (Site.TROUBLE ? String.format("router 0 froze %.1f ms later", offset) + " for " + FREEZE_MILLISECONDS + " ms" : "nothing froze"));
                Thread.sleep(300);
                boolean isServed = false;
                for (int i = 0; i < 3; i++) isServed |= Site.call(frozen.callers, request(0, ++number), 1000).status() == 200;
                unserved = isServed ? 0 : unserved + 1;
            }
        }
        site.note("all is calm from here; contactMs is 3,000");
        Thread.sleep(4000);
        String[] kinds = { "confirm", "status", "reply" };
        int[][] sent = new int[ROUTERS][3], served = new int[ROUTERS][3];
        for (int i = 0; i < 360; i++) {
            int router = i % ROUTERS, kind = i / ROUTERS % 3;
            Site.Answer answer = Site.call(site.routers.get(router).callers, request(kind, ++number), 1000);
            sent[router][kind]++;
            if (answer.status() == 200) served[router][kind]++;
            else if (i < 20 || i > 345) site.note(kinds[kind] + " at router " + router + ": " + answer.status() + " " + new String(answer.body()).trim());
            Thread.sleep(20);
        }
        boolean isStarved = false;
        for (int kind = 0; kind < 3; kind++) {
            int all = 0, allServed = 0;
            for (int router = 0; router < ROUTERS; router++) for (int k = 0; k < 3; k++) { all += sent[router][k]; allServed += served[router][k]; }
            int sentOfKind = 0, servedOfKind = 0;
            StringJoiner byRouter = new StringJoiner(", ");
            for (int router = 0; router < ROUTERS; router++) {
                sentOfKind += sent[router][kind];
                servedOfKind += served[router][kind];
                byRouter.add("" + served[router][kind]);
            }
            isStarved |= (double) servedOfKind / sentOfKind < 0.25 * allServed / all;
            site.note(kinds[kind] + ": served " + servedOfKind + " of " + sentOfKind + " (by router: " + byRouter + "), all requests " + allServed + " of " + all);
        }
        for (Site.Router router : site.routers) site.note("metrics of router " + site.routers.indexOf(router) + ", which has no request: " + running(router));
        return isStarved ? 1 : 0;
    }

    static byte[] request(int kind, int number) {
        return switch (kind) {
            case 0 -> Uploads.request("POST", "/confirm/1", String.format("%016x", number), 600);
            case 1 -> Heads.head("GET /status/1", number, 1000, "");
            default -> Heads.head("POST /reply/1", number, 15000, "Model: m\r\nToken-Usage: 826,97\r\nPrefix-Hash: 5c1e:198,91bd:628\r\n");
        };
    }

    private static String running(Site.Router router) {
        String text = new String(Site.call(router.readiness, ("GET /metrics HTTP/1.1\r\nHost: " + Site.HOST + "\r\n\r\n").getBytes(), 1000).body());
        for (String line : text.split("\n")) if (line.startsWith("sniperoute_requests_running ")) return line;
        return "none";
    }
}

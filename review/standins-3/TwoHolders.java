import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Case 14: workers leave some orders unanswered, and the machine that gives the orders is cut off from the other machines of the core. Each
 * replica must get orders from one holder at a time.
 */
public final class TwoHolders {
    private static final int REPLICAS = 9;
    /** The share of the orders that get no answer and are carried out later. */
    private static final double UNANSWERED = 0.5;
    /** The partition begins so long after an order was left unanswered. */
    private static final int CUT_AFTER_MS = 1_060;
    private static final int REPORT_MS = 260;
    private static final int CUT_MS = 4_000;
    private static final int LEASE_MS = 3_000;
    private static final int THAW_SLACK_MS = 300;
    private static final long LENGTH_MS = 98_000;

    private TwoHolders() {
    }

    /** An order as a replica saw it. */
    private static final class Order {
        final long at;
        final String holder;
        final long fence;
        final long version;

        Order(long at, String holder, long fence, long version) {
            this.at = at;
            this.holder = holder;
            this.fence = fence;
            this.version = version;
        }
    }

    private static final Random RANDOM = new Random(11);
    private static volatile boolean isAppliedLate;
    /** The first order of the present round that was left unanswered. */
    private static final AtomicReference<Order> LEFT = new AtomicReference<>();
    private static final List<Long> HEALED = new ArrayList<>();

    /** A replica that leaves some orders unanswered and carries them out two to twelve seconds later. */
    private static final class Worker extends Replica {
        final List<Order> orders = new ArrayList<>();

        Worker(String id, String host) throws IOException {
            super(id, "writers", "m1", host, 64, 360);
        }

        /** Reports take a moment, as when a sound replica falls silent and goes on. */
        @Override
        void report(Wire.Message request, Socket socket) throws IOException {
            pause(REPORT_MS);
            super.report(request, socket);
        }

        @Override
        void order(Wire.Message request, Socket socket) throws IOException {
            Order order = new Order(Log.now(), word(request.text(), "holder"), number(request.text(), "fence"), number(request.text(), "version"));
            boolean isLeft;
            synchronized (RANDOM) {
                orders.add(order);
                isLeft = isAppliedLate && RANDOM.nextDouble() < UNANSWERED;
            }
            Log.line("replica " + id + " gets an order from " + order.holder + ", generation " + order.fence + ", for version " + order.version
                + (isLeft ? ", and leaves it unanswered" : ""));
            if (!isLeft) {
                super.order(request, socket);
                return;
            }
            LEFT.compareAndSet(null, order);
            long delay;
            synchronized (RANDOM) {
                delay = 2_000 + RANDOM.nextInt(10_000);
            }
            Machines.daemon(() -> {
                Thread.sleep(delay);
                Log.detail("replica " + id + " comes to the order of " + order.holder + " for version " + order.version + ": " + carryOut(request));
            });
            pause(10_000);
        }
    }

    /** The bounds of sdtm-route-grown, whose replicas don't check generation numbers. */
    private static Machines.Bounds bounds() {
        Machines.Bounds bounds = new Machines.Bounds();
        bounds.versionMs = 20_000;
        bounds.budgetExtra = 222;
        return bounds;
    }

    public static void main(String[] arguments) {
        Deployment.run(arguments, root -> {
            Deployment deployment = new Deployment(root, 1, bounds());
            List<Worker> workers = new ArrayList<>();
            for (int i = 1; i <= REPLICAS; i++) {
                workers.add(new Worker("i-w" + i, "127.0.3.1" + i));
            }
            deployment.infrastructure.replicas.addAll(workers);
            deployment.infrastructure.replicas.add(new Replica("i-d1", "desk", "", "127.0.3.21", 6, 96));
            boolean isStarted = deployment.start(Deployment.manifest(List.of(
                Deployment.route("r-note", "a.example", "/note/", "streaming", 15_000, 800, "writers", 1),
                Deployment.route("r-desk", "a.example", "/desk/", "safe", 1_000, 100, "desk", 2))));
            if (!isStarted) {
                return 2;
            }
            Thread.sleep(4_000);
            for (int version = 2; Log.now() < LENGTH_MS; version++) {
                round(deployment, workers, version);
            }
            List<String> breaks = breaks(workers);
            breaks.forEach(Log::line);
            Log.line((breaks.isEmpty() ? "kept: " : "BROKEN: ONE, ") + breaks.size() + " turns of two holders within " + LEASE_MS + " ms");
            return breaks.isEmpty() ? 0 : 1;
        });
    }

    /** New weights are named; one second after an order was left unanswered, the machine that gave it is cut off for some seconds. */
    private static void round(Deployment deployment, List<Worker> workers, int version) throws InterruptedException {
        LEFT.set(null);
        isAppliedLate = Deployment.IS_TROUBLED;
        Wire.Message answer = deployment.machines.operate("POST", "/api/version-put", "{\"model\":\"m1\",\"version\":" + version + "}", Log.now() + 8_000);
        Log.line("version " + version + " is named: " + (answer == null ? "no clear answer" : answer.first));
        long until = Log.now() + 5_500;
        while (Log.now() < until && LEFT.get() == null) {
            Thread.sleep(1);
        }
        Order left = LEFT.get();
        if (left != null) {
            Thread.sleep(Math.max(0, left.at + CUT_AFTER_MS - Log.now()));
            deployment.machines.cut(deployment.machines.coreAt(left.holder));
            Thread.sleep(CUT_MS);
            deployment.machines.heal();
            HEALED.add(Log.now());
        }
        isAppliedLate = false;
        Thread.sleep(3_000);
    }

    /** The turns of two holders at one replica within the lease, and generation numbers that fall or that two holders share. */
    private static List<String> breaks(List<Worker> workers) {
        List<String> found = new ArrayList<>();
        for (Worker worker : workers) {
            List<Order> orders;
            synchronized (RANDOM) {
                orders = new ArrayList<>(worker.orders);
            }
            orders.removeIf(order -> HEALED.stream().anyMatch(healed -> order.at >= healed && order.at <= healed + THAW_SLACK_MS));
            for (int i = 1; i < orders.size(); i++) {
                Order before = orders.get(i - 1);
                Order order = orders.get(i);
                if (before.holder.equals(order.holder)) {
                    continue;
                }
                if (order.at - before.at < LEASE_MS) {
                    found.add("replica " + worker.id + " got orders of " + before.holder + " and " + order.holder + " within " + (order.at - before.at) + " ms");
                }
                if (order.fence <= before.fence) {
                    found.add("replica " + worker.id + " got generation " + order.fence + " of " + order.holder + " after " + before.fence + " of " + before.holder);
                }
            }
        }
        return found;
    }
}

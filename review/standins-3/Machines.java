import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The machines of a small deployment on loopback: five of the core at 127.0.1.1 to 127.0.1.5 and some fronts at 127.0.2.1 and so on. Each
 * runs one of the project's programs with the command of the deploy file. A process that ends is started again a second later, as the
 * platform does. Each machine sees the others under their own addresses: a relay carries the channels between machines, and can cut them.
 */
final class Machines {
    /** One machine and its process. */
    static final class Machine {
        final String role;
        final String address;
        int peerPort;
        int servicePort;
        int readyPort;
        Path settings;
        volatile Process process;
        volatile boolean isWanted;
        volatile int ownEnds;
        volatile int starts;

        Machine(String role, String address) {
            this.role = role;
            this.address = address;
        }
    }

    /** The bounds of a deployment that the settings state. */
    static final class Bounds {
        int lossesToBear = 2;
        int leaseMs = 3_000;
        int versionMs = 8_000;
        int graceS = 8;
        double budgetExtra = 52;
        double quotaSlack = 110_000;
    }

    final List<Machine> core = new ArrayList<>();
    final List<Machine> fronts = new ArrayList<>();
    private final Path root;
    private final Path folder;
    private final Bounds bounds;
    private final String list;
    private volatile boolean isOver;
    /** The machine that is cut off from the others of the core, or null. */
    private volatile Machine cutOff;
    private final List<ServerSocket> relays = new ArrayList<>();
    private int nextPort = 10_000 + new Random().nextInt(20_000);

    Machines(Path root, int frontCount, String list, Bounds bounds) throws IOException {
        this.root = root;
        this.folder = Files.createTempDirectory("review-3-");
        this.bounds = bounds;
        this.list = list;
        for (int i = 1; i <= 5; i++) {
            core.add(new Machine("control", "127.0.1." + i));
        }
        for (int i = 1; i <= frontCount; i++) {
            fronts.add(new Machine("router", "127.0.2." + i));
        }
        int controlPort = freePort(core);
        int callersPort = freePort(fronts);
        int readyPort = freePort(fronts);
        for (Machine machine : all()) {
            machine.peerPort = freePort(all());
            machine.servicePort = machine.role.equals("control") ? controlPort : callersPort;
            machine.readyPort = readyPort;
        }
        for (Machine from : all()) {
            for (Machine to : core) {
                if (from != to) {
                    relay(from, to);
                }
            }
            from.settings = Files.writeString(folder.resolve(from.address + ".json"), settings(from));
        }
    }

    List<Machine> all() {
        return Stream.concat(core.stream(), fronts.stream()).collect(Collectors.toList());
    }

    private int freePort(List<Machine> machines) throws IOException {
        while (true) {
            nextPort += 1;
            boolean isFree = true;
            for (Machine machine : machines) {
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress(machine.address, nextPort));
                } catch (IOException taken) {
                    isFree = false;
                }
            }
            if (isFree) {
                return nextPort;
            }
        }
    }

    private String settings(Machine machine) throws IOException {
        boolean isControl = machine.role.equals("control");
        String own = machine.address + ":" + machine.servicePort;
        String seeds = core.subList(0, 3).stream()
            .map(seed -> "\"" + seed.address + ":" + seed.servicePort + "\"").collect(Collectors.joining(","));
        String data = isControl ? Files.createDirectories(folder.resolve("data-" + machine.address)).toString() : "";
        return "{ \"vm\": \"" + machine.address + "\", \"failureDomain\": \"z" + (machine.address.charAt(8) % 3) + "\",\n"
            + "  \"peerPort\": " + machine.peerPort + ", \"seeds\": [" + seeds + "], \"mayForm\": true,\n"
            + "  \"votersToLose\": " + bounds.lossesToBear + ", \"dataFolder\": \"" + data + "\",\n"
            + "  \"callers\": \"" + (isControl ? "" : own) + "\", \"readiness\": \""
            + (isControl ? "" : machine.address + ":" + machine.readyPort) + "\",\n"
            + "  \"operators\": \"" + (isControl ? own : "") + "\", \"platformList\": \"" + list + "\",\n"
            + "  \"orderRestMilliseconds\": " + bounds.leaseMs + ", \"weightsLimitMilliseconds\": " + bounds.versionMs + ",\n"
            + "  \"graceSeconds\": " + bounds.graceS + ", \"retryRatio\": 0.2, \"retryExtra\": " + bounds.budgetExtra
            + ", \"retryWindowSeconds\": 10,\n"
            + "  \"allowanceWindowSeconds\": 8, \"allowanceOverage\": 0.1, \"allowanceSlack\": " + bounds.quotaSlack
            + ", \"descriptors\": 4096,\n  \"servesWithoutLease\": true }\n";
    }

    /** The command of the deploy file for a role, with the settings of this machine. */
    private List<String> command(Machine machine) throws IOException {
        String run = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = ") && line.contains(" " + machine.role + " "))
            .findFirst().orElseThrow();
        List<String> words = new ArrayList<>(List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")));
        words.set(words.size() - 1, machine.settings.toString());
        return words;
    }

    void startAll() throws IOException {
        for (Machine machine : all()) {
            machine.isWanted = true;
            start(machine);
        }
    }

    private void start(Machine machine) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command(machine)).directory(root.toFile()).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(machine.address + ".log").toFile()));
        Map<String, String> kept = new LinkedHashMap<>(builder.environment());
        kept.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().clear();
        builder.environment().putAll(kept);
        Process process = builder.start();
        machine.process = process;
        machine.starts += 1;
        process.onExit().thenAccept(ended -> ended(machine, ended));
    }

    private void ended(Machine machine, Process process) {
        if (isOver || !machine.isWanted) {
            return;
        }
        machine.ownEnds += 1;
        Log.line("the process of " + machine.role + " " + machine.address + " ended by itself with status " + process.exitValue()
            + ", for the " + machine.ownEnds + ". time; its last line: " + lastLine(machine));
        try {
            TimeUnit.SECONDS.sleep(1);
            if (!isOver) {
                start(machine);
            }
        } catch (IOException | InterruptedException failure) {
            Log.line("could not be started again: " + failure);
        }
    }

    String lastLine(Machine machine) {
        try {
            List<String> lines = Files.readAllLines(folder.resolve(machine.address + ".log"));
            return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
        } catch (IOException failure) {
            return failure.toString();
        }
    }

    /** Whether the front answers its readiness question with 200. */
    boolean isReady(Machine front) {
        try {
            return Wire.call(front.address, front.readyPort, "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n", new byte[0], 1_000).status() == 200;
        } catch (IOException failure) {
            return false;
        }
    }

    /** Sends an operator's call, to one machine of the core after the other, until it gets a clear answer; null without one. */
    Wire.Message operate(String method, String path, String body, long untilMilliseconds) throws InterruptedException {
        int turn = 0;
        while (Log.now() < untilMilliseconds) {
            Machine machine = core.get(turn++ % core.size());
            String host = machine.address;
            int port = machine.servicePort;
            try {
                for (int redirects = 0; redirects < 3; redirects++) {
                    byte[] bytes = body.getBytes();
                    String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/json\r\nContent-Length: "
                        + bytes.length + "\r\n\r\n";
                    Wire.Message answer = Wire.call(host, port, head, bytes, 1_000);
                    if (answer.status() == 307) {
                        String place = answer.header("location").substring("http://".length());
                        host = place.substring(0, place.indexOf(':'));
                        port = Integer.parseInt(place.substring(place.indexOf(':') + 1, place.indexOf('/')));
                    } else if (answer.status() < 500 && answer.status() != 408 && answer.status() != 429) {
                        Log.detail("operator: " + method + " " + path + " at " + host + " is answered " + answer.status());
                        return answer;
                    } else {
                        break;
                    }
                }
            } catch (IOException failure) {
                Log.detail("operator: " + path + " at " + host + ": " + failure);
            }
            Thread.sleep(100);
        }
        return null;
    }

    Machine coreAt(String address) {
        return core.stream().filter(machine -> machine.address.equals(address)).findFirst().orElseThrow();
    }

    /** Partitions one machine of the core from its other machines; everything else still reaches it. */
    void cut(Machine machine) {
        cutOff = machine;
        Log.line("trouble: " + machine.address + " is partitioned from the other machines of the core");
    }

    void heal() {
        cutOff = null;
        Log.line("trouble: the partition has healed");
    }

    private boolean isCut(Machine from, Machine to) {
        Machine cut = cutOff;
        return cut != null && from.role.equals("control") && (from == cut || to == cut);
    }

    /** Carries the channels that one machine opens to another, under the address of the first. */
    private void relay(Machine from, Machine to) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(to.address, from.peerPort));
        relays.add(server);
        daemon(() -> {
            while (!isOver) {
                Socket accepted = server.accept();
                daemon(() -> carry(accepted, from, to));
            }
        });
    }

    private void carry(Socket near, Machine from, Machine to) throws Exception {
        waitWhileCut(from, to);
        Socket far = new Socket();
        try {
            far.bind(new InetSocketAddress(InetAddress.getByName(from.address), 0));
            far.connect(new InetSocketAddress(to.address, to.peerPort), 1_000);
        } catch (IOException refused) {
            near.setSoLinger(true, 0);
            near.close();
            return;
        }
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        daemon(() -> pump(near, far, from, to));
        pump(far, near, from, to);
    }

    private void waitWhileCut(Machine from, Machine to) throws InterruptedException {
        while (!isOver && isCut(from, to)) {
            Thread.sleep(2);
        }
    }

    private void pump(Socket source, Socket sink, Machine from, Machine to) throws Exception {
        try {
            byte[] buffer = new byte[65_536];
            InputStream in = source.getInputStream();
            OutputStream out = sink.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                waitWhileCut(from, to);
                out.write(buffer, 0, count);
            }
        } catch (IOException ended) {
            // Closed below.
        }
        waitWhileCut(from, to);
        source.close();
        sink.close();
    }

    interface Action {
        void run() throws Exception;
    }

    static Thread daemon(Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (Exception ended) {
                // A stand-in's thread ends with its channel.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Ends all processes and removes the temporary folder. */
    void stop() throws Exception {
        isOver = true;
        for (Machine machine : all()) {
            if (machine.process != null) {
                machine.process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
            }
        }
        for (ServerSocket relay : relays) {
            relay.close();
        }
        String kept = System.getenv("KEEP_LOGS");
        if (kept != null) {
            for (Machine machine : all()) {
                Files.copy(folder.resolve(machine.address + ".log"), Files.createDirectories(Path.of(kept)).resolve(machine.address + ".log"),
                    java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}

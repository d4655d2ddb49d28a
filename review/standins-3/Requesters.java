import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requesters that keep their channels: each sends one request after the other on a channel, with a pause between them, and opens a new
 * channel when the old one has ended. A requester leaves when its time limit has passed.
 */
final class Requesters {
    final AtomicInteger sent = new AtomicInteger();
    final AtomicInteger whole = new AtomicInteger();
    final Map<String, AtomicInteger> ends = new ConcurrentSkipListMap<>();
    /** Plain requests that had no answer at their route's timeoutMs, and those of them that had none half a second later, by front. */
    final Map<String, AtomicInteger> late = new ConcurrentHashMap<>();
    final Map<String, AtomicInteger> veryLate = new ConcurrentHashMap<>();
    private volatile boolean isOver;

    Requesters(Deployment deployment, int channelsToEachFront, long pauseMs) {
        for (Machines.Machine front : deployment.machines.fronts) {
            for (int i = 0; i < channelsToEachFront; i++) {
                boolean isPlain = i % 4 == 0;
                Machines.daemon(() -> {
                    Thread.sleep((long) (Math.random() * 1_000));
                    while (!isOver) {
                        keep(front, isPlain, pauseMs);
                        Thread.sleep(pauseMs);
                    }
                });
            }
        }
    }

    private void keep(Machines.Machine front, boolean isPlain, long pauseMs) throws InterruptedException {
        int limit = isPlain ? Deployment.PLAIN_LIMIT_MS : 15_000;
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(front.address, front.servicePort), 1_000);
            socket.setSoTimeout(limit);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (!isOver) {
                String id = Deployment.newId();
                sent.incrementAndGet();
                String request = isPlain ? Deployment.plainRequest(id) : Deployment.writerRequest(id, limit);
                String end;
                boolean goesOn = false;
                long start = Log.now();
                try {
                    Wire.write(socket.getOutputStream(), request, new byte[0]);
                    Wire.Message answer = Wire.read(in, true);
                    end = String.valueOf(answer.status());
                    goesOn = !answer.header("connection").equalsIgnoreCase("close");
                    if (answer.status() == 200) {
                        whole.incrementAndGet();
                    }
                } catch (SocketTimeoutException late) {
                    end = "left at its time limit";
                } catch (IOException broken) {
                    end = "the channel ended without an answer";
                }
                if (isPlain && !isOver && !end.startsWith("the channel")) {
                    count(late, front, Log.now() - start >= Deployment.PLAIN_TIMEOUT_MS);
                    count(veryLate, front, Log.now() - start >= Deployment.PLAIN_TIMEOUT_MS + 500);
                }
                ends.computeIfAbsent(end, name -> new AtomicInteger()).incrementAndGet();
                Log.detail("request " + id + " at " + front.address + (isPlain ? " (desk)" : " (note)") + ": " + end);
                if (!goesOn) {
                    return;
                }
                Thread.sleep(pauseMs);
            }
        } catch (IOException failure) {
            ends.computeIfAbsent("no channel", name -> new AtomicInteger()).incrementAndGet();
        }
    }

    private static void count(Map<String, AtomicInteger> all, Machines.Machine front, boolean isCounted) {
        if (isCounted) {
            all.computeIfAbsent(front.address, name -> new AtomicInteger()).incrementAndGet();
        }
    }

    void stop() {
        isOver = true;
    }
}

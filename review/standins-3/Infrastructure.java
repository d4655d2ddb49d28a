import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;

/** The infrastructure's list of replicas, on one page. */
final class Infrastructure {
    final List<Replica> replicas = new CopyOnWriteArrayList<>();
    final String address;

    Infrastructure() throws IOException {
        ServerSocket server = new ServerSocket();
        server.bind(new InetSocketAddress("127.0.3.1", 0));
        address = "127.0.3.1:" + server.getLocalPort();
        Machines.daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                Machines.daemon(() -> serve(socket));
            }
        });
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Wire.read(in, false);
                String entries = replicas.stream().map(Replica::entry).collect(Collectors.joining(","));
                Wire.respond(socket.getOutputStream(), 200, "Content-Type: application/json\r\n", "{\"instances\":[" + entries + "],\"next\":null}");
            }
        }
    }
}

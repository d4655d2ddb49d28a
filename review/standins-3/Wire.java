import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 on plain sockets: just what the stand-ins need. */
final class Wire {
    private Wire() {
    }

    /** A request or a response: its first line, its headers in lower case, and its body. */
    static final class Message {
        final String first;
        final Map<String, String> headers;
        final byte[] body;

        Message(String first, Map<String, String> headers, byte[] body) {
            this.first = first;
            this.headers = headers;
            this.body = body;
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("the channel ended");
            }
            if (next == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            }
            line.write(next);
        }
    }

    /** Reads the next message; a response without a length or chunks ends with its channel. */
    static Message read(InputStream in, boolean isResponse) throws IOException {
        String first = line(in);
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        byte[] body = new byte[0];
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(line(in), 16); size > 0; size = Integer.parseInt(line(in), 16)) {
                byte[] chunk = in.readNBytes(size);
                if (chunk.length < size) {
                    throw new EOFException("the channel ended within a chunk");
                }
                all.write(chunk);
                line(in);
            }
            line(in);
            body = all.toByteArray();
        } else if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException("the channel ended within the body");
            }
        } else if (isResponse) {
            body = in.readAllBytes();
        }
        return new Message(first, headers, body);
    }

    static void write(OutputStream out, String head, byte[] body) throws IOException {
        byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[start.length + body.length];
        System.arraycopy(start, 0, all, 0, start.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        out.write(all);
        out.flush();
    }

    static void respond(OutputStream out, int status, String headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        write(out, "HTTP/1.1 " + status + " -\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n", bytes);
    }

    /** Sends one request on a new channel and returns the response. */
    static Message call(String host, int port, String head, byte[] body, int timeoutMilliseconds) throws IOException {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(InetAddress.getByName(host), port), 1_000);
            socket.setSoTimeout(timeoutMilliseconds);
            write(socket.getOutputStream(), head, body);
            return read(new BufferedInputStream(socket.getInputStream()), true);
        }
    }
}

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line for each thing that was sent, answered or run, with the milliseconds since the start. */
final class Log {
    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Log() {
    }

    static void open(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file), true);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Returns the milliseconds since the start of the run. */
    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static synchronized void line(String text) {
        String line = String.format("%8.3f s  %s", now() / 1_000.0, text);
        out.println(line);
        System.out.println(line);
    }

    /** A line for the record only. */
    static synchronized void detail(String text) {
        out.println(String.format("%8.3f s  %s", now() / 1_000.0, text));
    }
}

package bitternpulley.admin;

import bitternpulley.broker.OperatorOverrides;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Keeps what operators have ordered in a small file, which outlives the process and which the next
 * one, or one that runs at the same time, reads. Works on a thread of its own: nothing on the loop
 * waits for a file.
 */
public final class OverridesFile {
  private static final System.Logger LOG = System.getLogger(OverridesFile.class.getName());
  private static final String NAME = "bitternpulley-orders";
  private static final String CORDONED = "cordoned ";
  private static final String QUIESCED = "quiesced";

  /** Ms between looks for another process's changes: well within the 250 ms that a drain has. */
  private static final long LOOK = 50;

  private static final long MOST_BYTES = 256 * 1024;

  private final Optional<Path> file;
  private final ScheduledExecutorService thread =
      Executors.newSingleThreadScheduledExecutor(
          r -> {
            Thread made = new Thread(r, "orders");
            made.setDaemon(true);
            return made;
          });
  private OperatorOverrides last = OperatorOverrides.NONE;
  private boolean unusable;

  /** A file in a folder; with none, orders are only remembered. */
  public OverridesFile(Optional<Path> folder) {
    file = folder.map(f -> f.resolve(NAME));
  }

  /** What stands; called once, before the file is watched. */
  public OperatorOverrides read() {
    last = current();
    return last;
  }

  /** Tells of each change that another process made. */
  public void watch(Consumer<OperatorOverrides> changed) {
    thread.scheduleWithFixedDelay(
        () -> {
          OperatorOverrides now = current();
          if (!now.equals(last)) {
            last = now;
            changed.accept(now);
          }
        },
        LOOK,
        LOOK,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Carries out an order; {@code done} hears what then stands, and what went wrong with the file or
   * null.
   */
  public void change(OperatorOverrides.Override order, BiConsumer<OperatorOverrides, String> done) {
    thread.execute(
        () -> {
          String failure = null;
          try {
            change(order);
          } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "orders are not kept", e);
            failure = e.toString();
            last = last.with(order);
          }
          done.accept(last, failure);
        });
  }

  @SuppressWarnings("try") // the lock is held, not used
  private void change(OperatorOverrides.Override order) throws IOException {
    if (file.isEmpty()) {
      last = last.with(order);
      return;
    }
    Path at = file.get();
    // Guards against two processes that read, change and replace at once, of which one's change
    // would be lost.
    try (FileChannel channel =
            FileChannel.open(
                at.resolveSibling(NAME + ".lock"),
                StandardOpenOption.CREATE,
                StandardOpenOption.WRITE);
        FileLock lock = channel.lock()) {
      OperatorOverrides fresh = current().with(order);
      List<String> lines = new ArrayList<>();
      new TreeSet<>(fresh.cordoned()).forEach(s -> lines.add(CORDONED + s));
      if (fresh.quiesced()) {
        lines.add(QUIESCED);
      }
      Path next = at.resolveSibling(NAME + ".next");
      Files.write(next, lines);
      Files.move(next, at, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
      last = fresh;
    }
  }

  /**
   * What the file says; what stood before where it cannot be used, since a ban must not be lifted
   * by that.
   */
  private OperatorOverrides current() {
    if (file.isEmpty()) {
      return last;
    }
    try {
      if (Files.size(file.get()) > MOST_BYTES) {
        throw new IOException("it is too large");
      }
      TreeSet<String> cordoned = new TreeSet<>();
      boolean quiesced = false;
      for (String line : Files.readAllLines(file.get())) {
        if (line.startsWith(CORDONED)) {
          cordoned.add(line.substring(CORDONED.length()));
        } else if (line.equals(QUIESCED)) {
          quiesced = true;
        } else {
          throw new IOException("a line that is none of ours");
        }
      }
      unusable = false;
      return new OperatorOverrides(cordoned, quiesced);
    } catch (NoSuchFileException e) {
      return last;
    } catch (MalformedInputException e) {
      return keep("it is not text");
    } catch (IOException e) {
      return keep(e.toString());
    }
  }

  private OperatorOverrides keep(String why) {
    if (!unusable) {
      unusable = true;
      LOG.log(
          Level.WARNING,
          "the file of operators' orders cannot be used, what stood before stays: " + why);
    }
    return last;
  }
}

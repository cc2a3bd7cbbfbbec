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
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Persists operator overrides in a small file that outlives the process and that processes of one
 * hot restart share. Reads and writes on a daemon thread of its own, so that the event loop never
 * waits for a file.
 */
public final class OverridesFile {
  private static final System.Logger LOG = System.getLogger(OverridesFile.class.getName());
  private static final String NAME = "bitternpulley-orders";
  private static final String LOCK_NAME = NAME + ".lock";
  private static final String NEXT_NAME = NAME + ".next";
  private static final String THREAD_NAME = "orders";

  /**
   * Ms between checks for changes by another process. A draining server may get no new requests 250
   * ms after it was announced, and a cordon follows the same limit.
   */
  private static final long CHECK_INTERVAL_MS = 50;

  private static final long MAX_BYTES = 256 * 1024;

  /** Learns how a change ended; called on the file's thread. */
  interface ChangeObserver {
    /** The file holds the overrides. */
    void stored(OperatorOverrides overrides);

    /** The overrides hold in this process alone, since the file could not be written. */
    void keptInMemory(OperatorOverrides overrides, String failure);
  }

  private final Optional<Path> file;
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(OverridesFile::newThread);
  private OperatorOverrides current = OperatorOverrides.NONE;
  private boolean unreadableLogged;

  /** Uses the file in a folder; without a folder, overrides are kept in memory only. */
  public OverridesFile(Optional<Path> folder) {
    file = folder.map(path -> path.resolve(NAME));
  }

  private static Thread newThread(Runnable task) {
    Thread thread = new Thread(task, THREAD_NAME);
    thread.setDaemon(true);
    return thread;
  }

  /** Returns the stored overrides. Called once, before {@link #watch}. */
  OperatorOverrides read() {
    current = load();
    return current;
  }

  /** Reports each change that another process made; the observer is called on the file's thread. */
  void watch(Consumer<OperatorOverrides> observer) {
    // Runs until the process ends, so nothing cancels it.
    Future<?> unused =
        executor.scheduleWithFixedDelay(
            () -> check(observer), CHECK_INTERVAL_MS, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void check(Consumer<OperatorOverrides> observer) {
    OperatorOverrides loaded = load();
    if (!loaded.equals(current)) {
      current = loaded;
      observer.accept(loaded);
    }
  }

  /** Adds an override to the file. */
  void change(OperatorOverrides.OperatorCommand override, ChangeObserver observer) {
    executor.execute(() -> storeOrKeep(override, observer));
  }

  private void storeOrKeep(OperatorOverrides.OperatorCommand override, ChangeObserver observer) {
    try {
      store(override);
    } catch (IOException | RuntimeException exception) {
      // Whatever goes wrong with the file, the override has to take effect and the operator gets an
      // answer.
      LOG.log(
          Level.WARNING,
          "Cannot write operator overrides; they hold in this process only",
          exception);
      current = current.with(override);
      observer.keptInMemory(current, exception.toString());
      return;
    }
    observer.stored(current);
  }

  private void store(OperatorOverrides.OperatorCommand override) throws IOException {
    if (file.isEmpty()) {
      current = current.with(override);
    } else {
      storeLocked(file.get(), override);
    }
  }

  /** The lock keeps two processes that read, change and replace the file from losing a change. */
  @SuppressWarnings("try") // the lock is held, not used
  private void storeLocked(Path path, OperatorOverrides.OperatorCommand override)
      throws IOException {
    try (FileChannel channel =
            FileChannel.open(
                path.resolveSibling(LOCK_NAME),
                StandardOpenOption.CREATE,
                StandardOpenOption.WRITE);
        FileLock lock = channel.lock()) {
      OperatorOverrides changed = load().with(override);
      Path next = path.resolveSibling(NEXT_NAME);
      Files.write(next, OverridesCodec.encode(changed));
      Files.move(next, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
      current = changed;
    }
  }

  /**
   * Loads the file. Where that fails the overrides before stay, because an unreadable file must not
   * lift a cordon.
   */
  private OperatorOverrides load() {
    if (file.isEmpty()) {
      return current;
    }
    try {
      OperatorOverrides loaded = load(file.get());
      unreadableLogged = false;
      return loaded;
    } catch (NoSuchFileException exception) {
      return current;
    } catch (MalformedInputException exception) {
      return keepCurrent("it is not text in UTF-8");
    } catch (IOException exception) {
      return keepCurrent(exception.toString());
    }
  }

  private static OperatorOverrides load(Path path) throws IOException {
    if (Files.size(path) > MAX_BYTES) {
      throw new UnreadableOverridesException("it has more than " + MAX_BYTES + " bytes");
    }
    return OverridesCodec.decode(Files.readAllLines(path));
  }

  private OperatorOverrides keepCurrent(String reason) {
    if (!unreadableLogged) {
      unreadableLogged = true;
      LOG.log(
          Level.WARNING,
          "Cannot read operator overrides, the previous ones stay in force: " + reason);
    }
    return current;
  }
}

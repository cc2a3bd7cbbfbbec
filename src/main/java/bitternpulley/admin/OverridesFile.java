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
 * Persists operator overrides in a small file that outlives the process and is shared by the
 * processes of a hot restart. Except for the initial {@link #read}, all file access is on a daemon
 * thread, so that the event loop does not wait for a file.
 */
public final class OverridesFile {
  private static final System.Logger LOG = System.getLogger(OverridesFile.class.getName());
  private static final String FILE_NAME = "bitternpulley-orders";
  private static final String LOCK_NAME = FILE_NAME + ".lock";
  private static final String TEMPORARY_NAME = FILE_NAME + ".next";
  private static final String THREAD_NAME = "orders";

  /**
   * Ms between checks for changes by another process. A server must get no new requests later than
   * 250 ms after its draining was announced, and the same limit applies to a cordon.
   */
  private static final long CHECK_INTERVAL_MS = 50;

  private static final long MAX_BYTES = 256 * 1024;

  /** Receives the result of a change; called on the file access thread. */
  interface ChangeObserver {
    /** The changed overrides are stored in the file, or in memory if there is no file. */
    void stored(OperatorOverrides overrides);

    /** The file could not be written; the overrides are in force in this process only. */
    void keptInMemory(OperatorOverrides overrides, String failure);
  }

  private final Optional<Path> file;
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(OverridesFile::newThread);
  private OperatorOverrides current = OperatorOverrides.NONE;
  private boolean unreadableLogged;

  /** Uses the file in a folder; without a folder, the overrides are kept in memory only. */
  public OverridesFile(Optional<Path> folder) {
    file = folder.map(path -> path.resolve(FILE_NAME));
  }

  private static Thread newThread(Runnable task) {
    Thread thread = new Thread(task, THREAD_NAME);
    thread.setDaemon(true);
    return thread;
  }

  /** Returns the stored overrides. Must be called once, before {@link #watch}. */
  OperatorOverrides read() {
    current = load();
    return current;
  }

  /** Reports each change by another process; calls the observer on the file access thread. */
  void watch(Consumer<OperatorOverrides> observer) {
    // Runs until the process ends, so nothing cancels it.
    Future<?> unused =
        executor.scheduleWithFixedDelay(
            () -> checkForChangeLoggingErrors(observer),
            CHECK_INTERVAL_MS,
            CHECK_INTERVAL_MS,
            TimeUnit.MILLISECONDS);
  }

  /** Supervised boundary: the executor would end the checks silently after a failure. */
  private void checkForChangeLoggingErrors(Consumer<OperatorOverrides> observer) {
    try {
      checkForChange(observer);
    } catch (RuntimeException | Error failure) {
      LOG.log(Level.ERROR, "Checking operator overrides for changes failed", failure);
    }
  }

  private void checkForChange(Consumer<OperatorOverrides> observer) {
    OperatorOverrides loaded = load();
    if (!loaded.equals(current)) {
      current = loaded;
      observer.accept(loaded);
    }
  }

  /** Applies an override to the overrides in the file. */
  void change(OperatorOverrides.OperatorCommand override, ChangeObserver observer) {
    executor.execute(() -> storeOrKeepInMemory(override, observer));
  }

  private void storeOrKeepInMemory(
      OperatorOverrides.OperatorCommand override, ChangeObserver observer) {
    try {
      store(override);
    } catch (IOException | RuntimeException exception) {
      // Whatever goes wrong with the file, the override must take effect and the operator must get
      // an answer.
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

  /**
   * Stores an override under a file lock. Without the lock, two processes that read, change and
   * replace the file at the same time could lose a change.
   */
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
      Path temporary = path.resolveSibling(TEMPORARY_NAME);
      Files.write(temporary, OverridesCodec.encode(changed));
      Files.move(
          temporary, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
      current = changed;
    }
  }

  /**
   * Loads the file. If that fails, the current overrides stay in force, because an unreadable file
   * must not lift a cordon.
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

package bitternpulley.gossip;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * Chooses the epoch of each start of a member: the time, or one more than the stored epoch of the
 * last start where the clock was set back. Without a stored epoch only the time counts; members
 * that remember a later epoch then make this one raise its own.
 */
final class EpochFile {
  private static final System.Logger LOG = System.getLogger(EpochFile.class.getName());
  private static final String NAME = "bitternpulley-epoch";
  private static final String TEMPORARY_SUFFIX = ".new";

  private EpochFile() {}

  /** The epoch of this start, stored for the next; {@code folder} is null where there is none. */
  static long next(Path folder, double now) {
    if (folder == null) {
      return Math.max((long) now, 0);
    }
    Path file = folder.resolve(NAME);
    long epoch = Math.max((long) now, readLast(file) + 1);
    store(file, epoch);
    return epoch;
  }

  private static void store(Path file, long epoch) {
    try {
      Path temporary = file.resolveSibling(NAME + TEMPORARY_SUFFIX);
      Files.writeString(temporary, Long.toString(epoch));
      Files.move(
          temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException failure) {
      LOG.log(Level.WARNING, "Epoch " + epoch + " is not stored in " + file + ": " + failure);
    }
  }

  private static long readLast(Path file) {
    try {
      return Files.exists(file) ? Long.parseLong(Files.readString(file).trim()) : 0;
    } catch (IOException | NumberFormatException failure) {
      LOG.log(Level.WARNING, "No epoch in " + file + ", using the time: " + failure);
      return 0;
    }
  }
}

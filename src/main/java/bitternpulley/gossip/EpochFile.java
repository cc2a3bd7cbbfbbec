package bitternpulley.gossip;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * Chooses the epoch for each start of a member: the current time or, if the clock was set back, one
 * more than the stored epoch of the previous start. Without a stored epoch, the epoch is the
 * current time; members that remember a later epoch of this member then cause it to raise its
 * epoch.
 */
final class EpochFile {
  private static final System.Logger LOG = System.getLogger(EpochFile.class.getName());
  private static final String FILE_NAME = "bitternpulley-epoch";
  private static final String TEMPORARY_SUFFIX = ".new";

  private EpochFile() {}

  /**
   * Returns the epoch for this start and stores it for the next one.
   *
   * @param folder folder of the epoch file, or null to store nothing
   * @param now the current time in milliseconds
   */
  static long next(Path folder, double now) {
    if (folder == null) {
      return Math.max((long) now, 0);
    }
    Path file = folder.resolve(FILE_NAME);
    long epoch = Math.max((long) now, readStored(file) + 1);
    store(file, epoch);
    return epoch;
  }

  private static void store(Path file, long epoch) {
    try {
      Path temporary = file.resolveSibling(FILE_NAME + TEMPORARY_SUFFIX);
      Files.writeString(temporary, Long.toString(epoch));
      Files.move(
          temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException failure) {
      LOG.log(Level.WARNING, "Epoch " + epoch + " is not stored in " + file + ": " + failure);
    }
  }

  private static long readStored(Path file) {
    try {
      return Files.exists(file) ? Long.parseLong(Files.readString(file).trim()) : 0;
    } catch (IOException | NumberFormatException failure) {
      LOG.log(Level.WARNING, "No epoch in " + file + ", using the time: " + failure);
      return 0;
    }
  }
}

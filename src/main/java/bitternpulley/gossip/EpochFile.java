package bitternpulley.gossip;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * Tells each start of a member from those before: the time, or one more than the last start's where
 * a clock was set back. A folder that is empty at each start leaves the time alone; what others
 * remember of a later start then raises it.
 */
final class EpochFile {
  private static final System.Logger LOG = System.getLogger(EpochFile.class.getName());
  private static final String NAME = "bitternpulley-epoch";

  private EpochFile() {}

  /** The epoch of this start, kept for the next; {@code folder} may be null. */
  static long next(Path folder, double now) {
    long next = Math.max((long) now, folder == null ? 0 : last(folder.resolve(NAME)) + 1);
    if (folder != null) {
      try {
        Path beside = folder.resolve(NAME + ".new");
        Files.writeString(beside, Long.toString(next));
        Files.move(
            beside,
            folder.resolve(NAME),
            StandardCopyOption.ATOMIC_MOVE,
            StandardCopyOption.REPLACE_EXISTING);
      } catch (IOException e) {
        LOG.log(Level.WARNING, "the epoch of this start is not kept: " + e);
      }
    }
    return next;
  }

  private static long last(Path file) {
    try {
      return Files.exists(file) ? Long.parseLong(Files.readString(file).trim()) : 0;
    } catch (IOException | NumberFormatException e) {
      LOG.log(Level.WARNING, file + " tells no epoch, so the time does: " + e);
      return 0;
    }
  }
}

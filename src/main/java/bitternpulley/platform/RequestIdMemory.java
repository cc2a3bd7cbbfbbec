package bitternpulley.platform;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** The memory of the table of request ids: a file that the processes of a hot restart map. */
public final class RequestIdMemory {
  private static final System.Logger LOG = System.getLogger(RequestIdMemory.class.getName());
  private static final String FILE_NAME = "bitternpulley-requests";

  private RequestIdMemory() {}

  /** Returns memory that only this process uses. */
  public static ByteBuffer ofProcess() {
    return ByteBuffer.allocateDirect(RequestIdTable.BYTES);
  }

  /** Returns memory that all processes share that use the same folder. */
  public static ByteBuffer shared(Path folder) {
    try (FileChannel file =
        FileChannel.open(
            folder.resolve(FILE_NAME),
            StandardOpenOption.CREATE,
            StandardOpenOption.READ,
            StandardOpenOption.WRITE)) {
      return file.map(FileChannel.MapMode.READ_WRITE, 0, RequestIdTable.BYTES);
    } catch (IOException exception) {
      LOG.log(
          Level.WARNING,
          "Request ids are not shared with other processes of a hot restart: " + exception);
      return ofProcess();
    }
  }
}

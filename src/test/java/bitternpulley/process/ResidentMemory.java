package bitternpulley.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The memory of a process as the operating system counts it. */
final class ResidentMemory {
  private static final String PEAK_FIELD = "VmHWM:";
  private static final int KIB_PER_MIB = 1024;

  private ResidentMemory() {}

  /** Returns the largest resident memory that the process has had, in MiB. */
  static long peakMib(Process process) throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
      if (line.startsWith(PEAK_FIELD)) {
        return Long.parseLong(line.substring(PEAK_FIELD.length()).strip().split(" ", 2)[0])
            / KIB_PER_MIB;
      }
    }
    throw new IOException("the process has ended");
  }
}

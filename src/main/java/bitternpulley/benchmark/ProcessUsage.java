package bitternpulley.benchmark;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Resources that a process uses, as counted by the kernel.
 *
 * @param cpuMs processor time in user and kernel mode, ms, in steps of 10
 * @param residentKb current resident memory, KiB
 * @param peakResidentKb highest resident memory so far, KiB
 * @param descriptors open file descriptors
 */
record ProcessUsage(double cpuMs, long residentKb, long peakResidentKb, int descriptors) {
  /** Positions in {@code /proc/PID/stat}, counted from the field after the process name. */
  private static final int USER_TIME = 11;

  private static final int KERNEL_TIME = 12;
  private static final double MS_PER_TICK = 10;

  /** Returns the current usage of a process; throws IOException when the process has ended. */
  static ProcessUsage ofProcess(long pid) throws IOException {
    Path proc = Path.of("/proc", String.valueOf(pid));
    String stat = Files.readString(proc.resolve("stat"));
    String[] fieldsAfterName = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
    double cpuMs =
        MS_PER_TICK
            * (Long.parseLong(fieldsAfterName[USER_TIME])
                + Long.parseLong(fieldsAfterName[KERNEL_TIME]));
    String[] descriptors = new File(proc.toFile(), "fd").list();
    return new ProcessUsage(
        cpuMs,
        statusKb(proc, "VmRSS"),
        statusKb(proc, "VmHWM"),
        descriptors == null ? 0 : descriptors.length);
  }

  private static long statusKb(Path proc, String key) throws IOException {
    return Files.readAllLines(proc.resolve("status")).stream()
        .filter(line -> line.startsWith(key + ":"))
        .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
        .findFirst()
        .orElse(0);
  }
}

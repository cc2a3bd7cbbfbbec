package bitternpulley.benchmark;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What a process uses, as the kernel counts it.
 *
 * @param cpuMs processor time in user and kernel mode, ms, in steps of 10
 * @param residentKb resident memory now, KiB
 * @param mostResidentKb resident memory at the most, KiB
 * @param descriptors open file descriptors
 */
record ProcessUse(double cpuMs, long residentKb, long mostResidentKb, int descriptors) {
  private static final int USER_TIME = 11;
  private static final int KERNEL_TIME = 12;
  private static final double MS_PER_TICK = 10;

  /** As it stands now; throws IOException where the process has ended. */
  static ProcessUse of(long pid) throws IOException {
    Path proc = Path.of("/proc", String.valueOf(pid));
    String stat = Files.readString(proc.resolve("stat"));
    String[] after = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    double cpuMs =
        MS_PER_TICK * (Long.parseLong(after[USER_TIME]) + Long.parseLong(after[KERNEL_TIME]));
    String[] open = new File(proc.toFile(), "fd").list();
    return new ProcessUse(
        cpuMs, kb(proc, "VmRSS"), kb(proc, "VmHWM"), open == null ? 0 : open.length);
  }

  private static long kb(Path proc, String key) throws IOException {
    return Files.readAllLines(proc.resolve("status")).stream()
        .filter(l -> l.startsWith(key + ":"))
        .mapToLong(l -> Long.parseLong(l.replaceAll("[^0-9]", "")))
        .findFirst()
        .orElse(0);
  }
}

package bitternpulley.platform;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.function.LongSupplier;

/**
 * Remembers the ids of requests for a time, in a fixed amount of memory that the processes of a hot
 * restart can share. An id is stored as part of its hash together with the time until which it is
 * remembered; of too many ids in one bucket, the one that would be forgotten first is replaced.
 */
final class RequestIdTable {
  /** Size of the table in bytes. */
  static final int BYTES = 512 * 1024;

  private static final int ENTRIES = BYTES / Long.BYTES;
  private static final int ENTRIES_PER_BUCKET = 8;
  private static final int BUCKETS = ENTRIES / ENTRIES_PER_BUCKET;

  /** Bits of an entry that hold the time; the others hold the hash. */
  private static final int TIME_BITS = 20;

  private static final long TIME_MASK = (1L << TIME_BITS) - 1;
  private static final long TIME_UNIT_MS = 256;

  /** Entries that would be valid for longer are from long ago; their times have wrapped around. */
  private static final long MAX_KEEP_UNITS = 1024;

  private static final long FREE = 0;

  private static final VarHandle ENTRY =
      MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

  private final ByteBuffer memory;
  private final LongSupplier wallClockMs;

  /**
   * Creates a table.
   *
   * @param memory its memory, {@link #BYTES} long, which other processes may share
   * @param wallClockMs the time in ms, the same in all these processes
   */
  RequestIdTable(ByteBuffer memory, LongSupplier wallClockMs) {
    this.memory = memory.order(ByteOrder.nativeOrder());
    this.wallClockMs = wallClockMs;
  }

  /**
   * Remembers an id for {@code ms}, unless it is remembered already.
   *
   * @return whether the id was not remembered before
   */
  boolean add(String id, double ms) {
    long hash = hash(id);
    long entry = entry(hash, ms);
    while (true) {
      int first = 0;
      long replaced = read(hash, 0);
      for (int index = 0; index < ENTRIES_PER_BUCKET; index++) {
        long present = read(hash, index);
        if (isSame(present, hash) && remainingUnits(present) > 0) {
          return false;
        }
        if (remainingUnits(present) < remainingUnits(replaced)) {
          first = index;
          replaced = present;
        }
      }
      // Fails if another process has changed the entry since it was read, perhaps to the same id.
      if (ENTRY.compareAndSet(memory, offset(hash, first), replaced, entry)) {
        return true;
      }
    }
  }

  /** Changes the time for which an id is remembered from now on; 0 forgets it. */
  void keep(String id, double ms) {
    long hash = hash(id);
    for (int index = 0; index < ENTRIES_PER_BUCKET; index++) {
      long present = read(hash, index);
      if (isSame(present, hash)) {
        ENTRY.compareAndSet(memory, offset(hash, index), present, ms <= 0 ? FREE : entry(hash, ms));
      }
    }
  }

  private long read(long hash, int index) {
    return (long) ENTRY.getVolatile(memory, offset(hash, index));
  }

  private static int offset(long hash, int index) {
    int bucket = (int) (hash & (BUCKETS - 1));
    return (bucket * ENTRIES_PER_BUCKET + index) * Long.BYTES;
  }

  private long entry(long hash, double ms) {
    long units = Math.min(MAX_KEEP_UNITS, 1 + (long) Math.ceil(ms / TIME_UNIT_MS));
    return (hash & ~TIME_MASK) | ((nowUnits() + units) & TIME_MASK);
  }

  private static boolean isSame(long entry, long hash) {
    return entry != FREE && (entry & ~TIME_MASK) == (hash & ~TIME_MASK);
  }

  /** Returns how long an entry is still valid. */
  private long remainingUnits(long entry) {
    if (entry == FREE) {
      return 0;
    }
    long remaining = (entry - nowUnits()) & TIME_MASK;
    return remaining > MAX_KEEP_UNITS ? 0 : remaining;
  }

  private long nowUnits() {
    return wallClockMs.getAsLong() / TIME_UNIT_MS;
  }

  /** Returns a hash whose bits all depend on all characters. */
  private static long hash(String id) {
    long hash = 0xcbf29ce484222325L;
    for (int index = 0; index < id.length(); index++) {
      hash = (hash ^ id.charAt(index)) * 0x100000001b3L;
    }
    hash = (hash ^ (hash >>> 32)) * 0x9e3779b97f4a7c15L;
    return hash ^ (hash >>> 29);
  }
}

package bitternpulley.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Tests for how long ids are remembered, and by which processes. */
public class RequestIdTableTest {
  private static final double KEEP_MS = 5_000;
  private static final int IDS = 5_000;

  private long now = 1_000_000;
  private final ByteBuffer memory = ByteBuffer.allocateDirect(RequestIdTable.BYTES);
  private final RequestIdTable table = new RequestIdTable(memory, () -> now);

  @Test
  public void remembersAnIdForItsTime() {
    assertTrue(table.add("a", KEEP_MS));
    assertFalse(table.add("a", KEEP_MS));
    now += 4_900;
    assertFalse(table.add("a", KEEP_MS));
    now += 1_000;
    assertTrue(table.add("a", KEEP_MS));
  }

  @Test
  public void changesTheTimeOfAnId() {
    assertTrue(table.add("b", KEEP_MS));
    table.keep("b", 60_000);
    now += 30_000;
    assertFalse(table.add("b", KEEP_MS));
    table.keep("b", 0);
    assertTrue(table.add("b", KEEP_MS));
  }

  @Test
  public void forgetsEntriesFromLongAgo() {
    assertTrue(table.add("c", KEEP_MS));
    now += 48 * 3_600_000L;
    assertTrue(table.add("c", KEEP_MS));
  }

  @Test
  public void remembersThousandsOfIds() {
    for (int number = 0; number < IDS; number++) {
      assertTrue(table.add("many" + number, KEEP_MS));
    }
    int remembered = 0;
    for (int number = 0; number < IDS; number++) {
      remembered += table.add("many" + number, KEEP_MS) ? 0 : 1;
    }
    assertEquals(remembered, IDS);
  }

  /** Two processes map the same memory; each id begins at one of them only. */
  @Test(invocationCount = 50)
  public void givesEachIdToOneOfTwoProcesses() throws Exception {
    ByteBuffer shared = ByteBuffer.allocateDirect(RequestIdTable.BYTES);
    AtomicInteger begun = new AtomicInteger();
    List<Thread> processes = new ArrayList<>();
    for (int process = 0; process < 2; process++) {
      RequestIdTable own = new RequestIdTable(shared.duplicate(), () -> now);
      Thread thread =
          new Thread(
              () -> {
                for (int number = 0; number < IDS; number++) {
                  begun.addAndGet(own.add("both" + number, KEEP_MS) ? 1 : 0);
                }
              });
      thread.start();
      processes.add(thread);
    }
    for (Thread thread : processes) {
      thread.join();
    }
    assertEquals(begun.get(), IDS);
  }
}

package bitternpulley.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import bitternpulley.broker.OperatorOverrides;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the lines of the overrides file. */
class OverridesCodecTest {
  @Test
  void encodesServersInOrderBeforeQuiesced() {
    OperatorOverrides overrides = new OperatorOverrides(Set.of("s2", "s1"), true);
    assertEquals(
        List.of("cordoned s1", "cordoned s2", "quiesced"), OverridesCodec.encode(overrides));
  }

  @Test
  void decodesEncodedOverrides() throws IOException {
    OperatorOverrides overrides = new OperatorOverrides(Set.of("s 2", "s1"), false);
    assertEquals(overrides, OverridesCodec.decode(OverridesCodec.encode(overrides)));
  }

  @Test
  void rejectsLineOfUnknownFormat() {
    assertThrows(
        UnreadableOverridesException.class,
        () -> OverridesCodec.decode(List.of("cordoned s1", "drained s2")));
  }
}

package coveladder.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Addresses of a list of switches, some of them spoilt. */
class NumericAddressTest {
  /** Guards against a spoilt address whose look-up as a name holds the event loop. */
  @ParameterizedTest
  @CsvSource({
    "127.0.0.1, true",
    "10.1.0.255, true",
    "::1, true",
    "localhost, true",
    "10.1.0.256, false",
    "10.1.0, false",
    "10.1.0.9x, false",
    "10.1..9, false",
    "s-1, false"
  })
  void onlyNumbersAreResolved(String host, boolean resolved) {
    assertEquals(!resolved, NumericAddress.of(host, 2905).isUnresolved());
  }
}

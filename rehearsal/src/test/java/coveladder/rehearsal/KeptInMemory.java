package coveladder.rehearsal;

import coveladder.core.recovery.CallStore;
import coveladder.core.recovery.SavedCall;
import coveladder.sip.SipHost;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** A disk that takes a millisecond for a sync; a crash loses what was not safe. */
final class KeptInMemory implements CallStore {
  static final double SYNC = 1;

  private final Map<String, SavedCall> safe = new LinkedHashMap<>();
  private final List<Runnable> unsafe = new ArrayList<>();
  private SipHost host;

  /** The machine that it is in; its timers are gone with it. */
  void clock(SipHost machine) {
    host = machine;
  }

  @Override
  public void put(SavedCall call) {
    unsafe.add(() -> safe.put(call.id(), call));
  }

  @Override
  public void remove(String id) {
    unsafe.add(() -> safe.remove(id));
  }

  @Override
  public void sync(Consumer<Boolean> done) {
    int upTo = unsafe.size();
    host.after(
        SYNC,
        () -> {
          flush(Math.min(upTo, unsafe.size()));
          done.accept(true);
        });
  }

  /** What nobody waits for is safe a little later. */
  void flush() {
    flush(unsafe.size());
  }

  private void flush(int count) {
    List<Runnable> first = unsafe.subList(0, count);
    first.forEach(Runnable::run);
    first.clear();
  }

  void crash() {
    unsafe.clear();
  }

  @Override
  public Found found() {
    return new Found(new ArrayList<>(safe.values()), List.of());
  }
}

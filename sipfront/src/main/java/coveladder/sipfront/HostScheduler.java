package coveladder.sipfront;

import coveladder.core.Scheduler;
import coveladder.sip.SipHost;

/** Adapts the clock and timers of the SIP host to the core. */
final class HostScheduler implements Scheduler {
  private final SipHost host;

  HostScheduler(SipHost host) {
    this.host = host;
  }

  @Override
  public double now() {
    return host.now();
  }

  @Override
  public Timer schedule(double delayMillis, Runnable task) {
    return host.schedule(delayMillis, task)::cancel;
  }
}

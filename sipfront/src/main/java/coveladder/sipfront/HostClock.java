package coveladder.sipfront;

import coveladder.core.Scheduler;
import coveladder.sip.SipHost;

/** The world's clock as the core wants it. */
final class HostClock implements Scheduler {
  private final SipHost host;

  HostClock(SipHost host) {
    this.host = host;
  }

  @Override
  public double now() {
    return host.now();
  }

  @Override
  public Timer schedule(double delay, Runnable task) {
    return host.schedule(delay, task)::cancel;
  }
}

package coveladder.sipfront;

import coveladder.core.Scheduler;
import coveladder.sip.SipHost;

/** The world's clock as the core wants it. */
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

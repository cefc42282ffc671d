package coveladder.rehearsal;

import coveladder.CallPolicy;
import coveladder.NestedThresholdPolicy;
import coveladder.core.AttemptGuard;
import coveladder.sip.SipHost;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

/**
 * What a rehearsal puts between a controller and its world. The sound one puts nothing; mutations
 * use it to break a rule on purpose, so that the checker can be seen to go red.
 *
 * @param host wraps the world of each controller
 * @param policies makes the policy of a controller
 * @param guard makes the last look before a send
 */
public record Tampering(
    UnaryOperator<SipHost> host, Policies policies, Supplier<AttemptGuard> guard) {

  /** Makes a controller's policy. */
  public interface Policies {
    /** Makes it from the settings, a seed, and where its actions go. */
    CallPolicy make(CallPolicy.Settings settings, long seed, CallPolicy.Actions actions);
  }

  /** Leaves controllers as they are. */
  public static final Tampering NONE =
      new Tampering(
          UnaryOperator.identity(),
          NestedThresholdPolicy::new,
          () -> new AttemptGuard(FleetPlan.GUARD, FleetPlan.GRACE));

  Function<CallPolicy.Actions, CallPolicy> maker(CallPolicy.Settings settings, long seed) {
    return actions -> policies.make(settings, seed, actions);
  }
}

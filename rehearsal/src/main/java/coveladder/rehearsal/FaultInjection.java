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
 * @param hostWrapper wraps the world of each controller
 * @param policyFactory makes the policy of a controller
 * @param guardFactory makes the last look before a send
 */
public record FaultInjection(
    UnaryOperator<SipHost> hostWrapper,
    PolicyFactory policyFactory,
    Supplier<AttemptGuard> guardFactory) {

  /** Makes a controller's policy. */
  public interface PolicyFactory {
    /** Makes it from the settings, a seed, and where its actions go. */
    CallPolicy make(CallPolicy.Settings settings, long seed, CallPolicy.Actions actions);
  }

  /** Leaves controllers as they are. */
  public static final FaultInjection NONE =
      new FaultInjection(
          UnaryOperator.identity(),
          NestedThresholdPolicy::new,
          () -> new AttemptGuard(FleetConfig.GUARD_TIME_MILLIS, FleetConfig.DRAIN_GRACE_MILLIS));

  Function<CallPolicy.Actions, CallPolicy> policyFactoryFor(
      CallPolicy.Settings settings, long seed) {
    return actions -> policyFactory.make(settings, seed, actions);
  }
}

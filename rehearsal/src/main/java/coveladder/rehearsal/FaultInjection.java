package coveladder.rehearsal;

import coveladder.CallPolicy;
import coveladder.NestedThresholdPolicy;
import coveladder.core.AttemptGuard;
import coveladder.sip.SipHost;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

/**
 * What a rehearsal inserts between a controller and its environment. {@link #NONE} inserts nothing;
 * mutations break a rule on purpose to show that the checker detects it.
 *
 * @param hostWrapper wraps the host of each controller
 * @param policyFactory creates the policy of a controller
 * @param guardFactory creates the guard that checks each set-up before it is sent
 */
public record FaultInjection(
    UnaryOperator<SipHost> hostWrapper,
    PolicyFactory policyFactory,
    Supplier<AttemptGuard> guardFactory) {

  /** Creates the policy of a controller. */
  public interface PolicyFactory {
    /** Creates a policy from its settings, a seed and the receiver of its actions. */
    CallPolicy make(CallPolicy.Settings settings, long seed, CallPolicy.Actions actions);
  }

  /** Leaves controllers unchanged. */
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

package coveladder.isupfront;

/**
 * What the callers of pending calls have sent that was not processed yet. A call may be given up in
 * there, or its connection closed behind it.
 */
interface CallerInput {
  /** No call has such input. */
  CallerInput NONE =
      new CallerInput() {
        @Override
        public boolean hasUnreadInput(String call) {
          return false;
        }

        @Override
        public void refuseBacklogged(String call) {}
      };

  /** Whether the caller of a pending call has sent what was not processed yet. */
  boolean hasUnreadInput(String call);

  /** Refuses a pending call, as the input of its caller is not read in time. */
  void refuseBacklogged(String call);
}

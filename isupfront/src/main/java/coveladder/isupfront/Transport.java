package coveladder.isupfront;

/** The network as the front end uses it. All methods and events run in one thread. */
public interface Transport {

  /** Starts to connect; the result is reported later, never during this call. */
  Connection connect(String host, int port, ConnectionListener listener);

  /** Accepts no more connections of callers. */
  void stopListening();

  /** A connection. */
  interface Connection {
    /**
     * Sends octets, or queues them until the connection is established.
     *
     * @return false if too many octets are queued
     */
    boolean send(byte[] octets);

    /**
     * Whether octets have arrived that were not passed to the listener yet. The end of the
     * connection may be behind them.
     */
    default boolean hasUnreadInput() {
      return false;
    }

    /** Closes the connection once queued octets are sent; its listener gets no more events. */
    void close();

    /** Resets the connection; its listener gets no more events. */
    void reset();
  }

  /** Receives the events of one connection. */
  interface ConnectionListener {
    /** The connection was established. */
    default void opened() {}

    /**
     * Octets arrived.
     *
     * @param octets the octets received
     * @param arrived clock at which they were read, ms
     */
    void received(byte[] octets, double arrived);

    /**
     * Whether octets of this connection are processed before all other waiting events, as updates
     * of the exchange directory are.
     */
    default boolean urgent() {
      return false;
    }

    /** The connection could not be established, broke, or was closed by the remote end. */
    void lost(Loss loss);
  }

  /** Why a connection was lost. */
  enum Loss {
    /** It was established and then closed or broken. */
    CLOSED,
    /** The remote end refused it: nothing listens there. */
    TURNED_AWAY,
    /** It was not established in time. */
    NOT_MADE
  }
}

package coveladder.isupfront;

/** What the front asks of the network. All happens in one thread. */
public interface Transport {

  /** Begins to connect; what comes of it is told later, never within this call. */
  Connection connect(String host, int port, ConnectionListener user);

  /** Takes no more connections of callers. */
  void stopListening();

  /** One connection. */
  interface Connection {
    /** Sends octets, or keeps them until the connection is made; false where too much waits. */
    boolean send(byte[] octets);

    /** Closes once what waits has left; its user hears no more of it. */
    void close();

    /** Closes with a reset; its user hears no more of it. */
    void reset();
  }

  /** Hears what happens on one connection. */
  interface ConnectionListener {
    /** It is made. */
    default void opened() {}

    /**
     * Octets came.
     *
     * @param arrived clock at which they were read, ms
     */
    void received(byte[] octets, double arrived);

    /** Whether what it brings is heard before all else that waits, as the list's news is. */
    default boolean urgent() {
      return false;
    }

    /** It is no more, without this side's doing. */
    void lost(Loss loss);
  }

  /** Why a connection is no more. */
  enum Loss {
    /** It was closed or broke. */
    CLOSED,
    /** The other end turned it away: nothing listens there. */
    TURNED_AWAY,
    /** It was not made in time. */
    NOT_MADE
  }
}

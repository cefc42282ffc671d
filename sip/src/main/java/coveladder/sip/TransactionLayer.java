package coveladder.sip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * The transactions of one stack (RFC 3261 section 17). It also detects merged requests (section
 * 8.2.2.2) and late retransmissions of INVITEs whose transaction has terminated.
 */
public final class TransactionLayer {
  /** A larger request is sent by TCP (RFC 3261 section 18.1.1). */
  private static final int MAX_DATAGRAM_BYTES = 1300;

  private final SipHost host;
  private final Timing timing;
  private final TransactionUser user;
  private final int maxServerTransactions;
  private final Map<String, ClientTransaction> clientTransactions = new HashMap<>();
  private final Map<Hop, Set<ClientTransaction>> clientsByConnection = new HashMap<>();
  private final Map<String, ServerTransaction> serverTransactions = new HashMap<>();
  private final Map<Hop, Set<ServerTransaction>> serversByConnection = new HashMap<>();

  /** Keys of server transactions by {@link #mergeKey}, to detect merged requests. */
  private final Map<String, String> serverKeysByMergeKey = new HashMap<>();

  /**
   * Digests of the keys of terminated INVITE server transactions, whose retransmissions are
   * dropped.
   */
  private final Map<Long, Boolean> terminatedInvites;

  private final long digestSalt;
  private long branchCount;
  private boolean overloadControlOffered;
  private Supplier<OverloadControl> localOverload = () -> null;

  /** Arrival time of the message that is being processed, ms on the host's clock. */
  private double messageArrivalMillis;

  /**
   * Creates the layer.
   *
   * @param maxServerTransactions maximum number of concurrent server transactions, and of
   *     terminated INVITEs remembered; a request beyond it is answered 503 without a transaction
   */
  public TransactionLayer(
      SipHost host, Timing timing, int maxServerTransactions, TransactionUser user) {
    this.host = host;
    this.timing = timing;
    this.maxServerTransactions = maxServerTransactions;
    this.user = user;
    this.terminatedInvites = new RecentKeys(maxServerTransactions);
    this.digestSalt = host.random().nextLong();
  }

  /** The most recent keys of terminated INVITEs; the oldest key is evicted beyond the maximum. */
  private static final class RecentKeys extends LinkedHashMap<Long, Boolean> {
    private static final long serialVersionUID = 1L;
    private final int maxKeys;

    RecentKeys(int maxKeys) {
      this.maxKeys = maxKeys;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
      return size() > maxKeys;
    }
  }

  /** Offers overload control to servers in each Via sent (RFC 7339, RFC 7415). */
  public void offerOverloadControl() {
    overloadControlOffered = true;
  }

  /**
   * Sets the overload control values reported to clients that offer it; the supplier returns null
   * to report none.
   */
  public void reportOverload(Supplier<OverloadControl> overload) {
    localOverload = overload;
  }

  OverloadControl localOverload() {
    return localOverload.get();
  }

  SipHost host() {
    return host;
  }

  Timing timing() {
    return timing;
  }

  /** Number of client and server transactions in progress. */
  public int size() {
    return clientTransactions.size() + serverTransactions.size();
  }

  // ---- Client side --------------------------------------------------------------------------

  /**
   * Sends a request in a new transaction, adding a topmost Via. A request too large for a datagram
   * is sent by TCP, and falls back to UDP if the connection is refused.
   */
  public ClientTransaction send(SipRequest request, Hop hop, ClientTransaction.Listener listener) {
    ClientTransaction transaction = prepare(request, hop, listener);
    begin(transaction);
    return transaction;
  }

  /** Creates a transaction, with its Via, without sending the request yet. */
  ClientTransaction prepare(SipRequest request, Hop hop, ClientTransaction.Listener listener) {
    request.addFirst("Via", via(hop.transport(), nextBranch()).toString());
    ClientTransaction transaction = createClientTransaction(request, hop, listener);
    if (hop.transport() == Transport.UDP
        && transaction.encodedRequest().length > MAX_DATAGRAM_BYTES) {
      transaction.switchToTcp();
    }
    return transaction;
  }

  /** Sends the request of a prepared transaction. */
  void begin(ClientTransaction transaction) {
    register(transaction);
    transaction.start();
  }

  /** Sends a CANCEL, which carries the Via of its INVITE. */
  void sendCancel(SipRequest cancel, Hop hop, ClientTransaction.Listener listener) {
    begin(createClientTransaction(cancel, hop, listener));
  }

  /**
   * Cancels, after a restart, an INVITE that may have been sent with its present Via.
   *
   * @param listener receives the outcome, and a 2xx that crosses the CANCEL
   */
  void cancelAfterRestart(SipRequest invite, Hop hop, ClientTransaction.Listener listener) {
    InviteClientTransaction transaction = new InviteClientTransaction(this, invite, hop, listener);
    register(transaction);
    transaction.cancelAfterRestart("SIP;cause=487");
  }

  /**
   * Recreates, after a restart, the transaction of an INVITE received before it, so that
   * retransmissions match a transaction.
   */
  InviteServerTransaction resumeInvite(SipRequest invite, Hop source) {
    InviteServerTransaction transaction =
        new InviteServerTransaction(this, invite, source, host.now());
    transaction.suppressTrying();
    register(serverKey(invite, "INVITE"), transaction);
    serverKeysByMergeKey.put(mergeKey(invite), serverKey(invite, "INVITE"));
    return transaction;
  }

  /** Sends an ACK to a 2xx, which has no transaction. */
  public void sendAck(SipRequest ack, Hop hop) {
    ack.addFirst("Via", via(hop.transport(), nextBranch()).toString());
    host.send(hop, ack.toBytes());
  }

  private ClientTransaction createClientTransaction(
      SipRequest request, Hop hop, ClientTransaction.Listener listener) {
    return request.is("INVITE")
        ? new InviteClientTransaction(this, request, hop, listener)
        : new NonInviteClientTransaction(this, request, hop, listener);
  }

  private void register(ClientTransaction transaction) {
    clientTransactions.put(transaction.key(), transaction);
    if (transaction.isReliable()) {
      clientsByConnection
          .computeIfAbsent(transaction.hop(), h -> new LinkedHashSet<>())
          .add(transaction);
    }
  }

  private void register(String key, ServerTransaction transaction) {
    serverTransactions.put(key, transaction);
    if (transaction.source().transport().isReliable()) {
      serversByConnection
          .computeIfAbsent(transaction.source(), h -> new LinkedHashSet<>())
          .add(transaction);
    }
  }

  private Via via(Transport transport, String branch) {
    Hop local = host.localHop(transport);
    Params params = new Params().set("branch", branch).set("rport", "");
    if (overloadControlOffered) {
      params.set("oc", "").set("oc-algo", "\"loss,rate\"");
    }
    return new Via(transport.name(), local.host(), local.port(), params);
  }

  private String nextBranch() {
    branchCount++;
    return Via.MAGIC_COOKIE
        + Long.toHexString(host.random().nextLong())
        + Long.toHexString(branchCount);
  }

  void transactionTerminated(ClientTransaction transaction) {
    clientTransactions.remove(transaction.key(), transaction);
    unlink(transaction);
    transaction.notifyTerminated();
  }

  /** Removes a transaction from the index of its connection. */
  void unlink(ClientTransaction transaction) {
    unlink(clientsByConnection, transaction.hop(), transaction);
  }

  private static <T> void unlink(Map<Hop, Set<T>> index, Hop hop, T transaction) {
    Set<T> transactions = index.get(hop);
    if (transactions != null && transactions.remove(transaction) && transactions.isEmpty()) {
      index.remove(hop);
    }
  }

  // ---- Received messages --------------------------------------------------------------------

  /**
   * Processes a parsed message.
   *
   * @param arrivalMillis time of its arrival at this host, in milliseconds on the host's clock; it
   *     may have been queued since
   */
  public void receive(Hop source, SipMessage message, double arrivalMillis) {
    messageArrivalMillis = arrivalMillis;
    if (message instanceof SipRequest request) {
      receiveRequest(source, request);
    } else {
      receiveResponse((SipResponse) message);
    }
  }

  private void receiveResponse(SipResponse response) {
    Via via = response.via();
    Transport transport = Transport.fromName(via.transport());
    if (transport == null || !isLocal(via, host.localHop(transport))) {
      return;
    }
    ClientTransaction client =
        clientTransactions.get(via.branch() + ' ' + response.cseq().method());
    if (client != null) {
      if (matches(client.request(), response)) {
        client.receive(response);
      }
    } else if (response.isSuccess() && response.cseq().method().equals("INVITE")) {
      user.strayOk(response);
    }
  }

  private static boolean isLocal(Via via, Hop local) {
    return via.host().equals(local.host()) && via.portOrDefault() == local.port();
  }

  /** Rejects responses that carry the branch of another call's transaction. */
  private static boolean matches(SipRequest request, SipResponse response) {
    return request.callId().equals(response.callId())
        && request.cseq().number() == response.cseq().number()
        && String.valueOf(request.fromTag()).equals(response.fromTag());
  }

  private void receiveRequest(Hop source, SipRequest request) {
    recordSource(source, request);
    String key = serverKey(request, request.is("ACK") ? "INVITE" : request.method());
    ServerTransaction known = serverTransactions.get(key);
    if (request.is("ACK")) {
      boolean absorbed = known instanceof InviteServerTransaction invite && invite.receiveAck();
      if (!absorbed && !terminatedInvites.containsKey(digest(key))) {
        user.ack(request);
      }
    } else if (known != null) {
      known.requestRetransmitted();
    } else if (!terminatedInvites.containsKey(digest(key))) {
      createServerTransaction(key, source, request);
    }
  }

  /** Records the source of a request in its Via (RFC 3261 section 18.2.1, RFC 3581 section 4). */
  private static void recordSource(Hop source, SipRequest request) {
    Via via = request.via();
    boolean rportRequested = via.params().has("rport");
    if (rportRequested || !via.host().equals(source.host())) {
      via.params().set("received", source.host());
      if (rportRequested) {
        via.params().set("rport", Integer.toString(source.port()));
      }
      request.replaceTopVia(via);
    }
  }

  private void createServerTransaction(String key, Hop source, SipRequest request) {
    if (serverTransactions.size() >= maxServerTransactions) {
      rejectStateless(source, request);
      return;
    }
    String mergeKey = request.toTag() == null ? mergeKey(request) : null;
    boolean merged =
        mergeKey != null && serverKeysByMergeKey.containsKey(mergeKey) && !request.is("CANCEL");
    ServerTransaction transaction =
        request.is("INVITE")
            ? new InviteServerTransaction(this, request, source, messageArrivalMillis)
            : new NonInviteServerTransaction(this, request, source, messageArrivalMillis);
    register(key, transaction);
    if (request.is("CANCEL")) {
      handleCancel(transaction, request);
    } else if (merged) {
      transaction.respond(request.response(482));
    } else {
      if (mergeKey != null) {
        serverKeysByMergeKey.put(mergeKey, key);
      }
      user.request(transaction, request);
    }
  }

  private void handleCancel(ServerTransaction cancel, SipRequest request) {
    ServerTransaction invite = serverTransactions.get(serverKey(request, "INVITE"));
    cancel.respond(request.response(invite == null ? 481 : 200));
    if (invite != null && !invite.hasFinalResponse()) {
      user.cancelled(invite, request);
    }
  }

  private void rejectStateless(Hop source, SipRequest request) {
    SipResponse busy = request.response(503);
    busy.add("Retry-After", "1");
    Transport transport = source.transport();
    host.send(
        transport.isReliable() ? source : request.via().responseHop(transport), busy.toBytes());
  }

  /** Answers a request that could not be parsed completely, without a transaction. */
  public void rejectMalformed(Hop source, SipRequest request, int status, String phrase) {
    Transport transport = source.transport();
    Hop responseHop = transport.isReliable() ? source : request.via().responseHop(transport);
    host.send(responseHop, request.response(status, phrase).toBytes());
  }

  /**
   * Key of a server transaction (RFC 3261 section 17.2.3), also for requests without a unique
   * branch.
   */
  private static String serverKey(SipRequest request, String method) {
    Via via = request.via();
    if (via.hasRfc3261Branch()) {
      return via.branch() + ' ' + via.host() + ':' + via.portOrDefault() + ' ' + method;
    }
    return request.uri()
        + ' '
        + request.fromTag()
        + ' '
        + request.callId()
        + ' '
        + request.cseq().number()
        + ' '
        + via.host()
        + ' '
        + method;
  }

  /**
   * Digests a key to 64 bits, salted so that a peer cannot construct collisions. The multiplier is
   * 2^64 divided by the golden ratio.
   */
  private long digest(String key) {
    long digest = digestSalt;
    for (int i = 0; i < key.length(); i++) {
      digest = (digest ^ key.charAt(i)) * 0x9e3779b97f4a7c15L;
      digest ^= digest >>> 29;
    }
    return digest;
  }

  /**
   * Key that merged requests share: they differ only in their path, so in Via (section 8.2.2.2).
   */
  private static String mergeKey(SipRequest request) {
    return request.callId() + ' ' + request.fromTag() + ' ' + request.cseq();
  }

  void transactionTerminated(ServerTransaction transaction) {
    SipRequest request = transaction.request();
    String key = serverKey(request, request.method());
    serverTransactions.remove(key, transaction);
    unlink(serversByConnection, transaction.source(), transaction);
    if (request.toTag() == null) {
      serverKeysByMergeKey.remove(mergeKey(request), key);
    }
    if (request.is("INVITE")) {
      terminatedInvites.put(digest(key), true);
    }
    transaction.notifyTerminated();
  }

  // ---- Transport errors ---------------------------------------------------------------------

  /** Tells each transaction on a connection that it could not be made, or was lost. */
  public void connectionFailed(Hop hop, Failure failure) {
    for (ClientTransaction client : snapshot(clientsByConnection.get(hop))) {
      client.deliveryFailed(failure);
    }
    for (ServerTransaction server : snapshot(serversByConnection.get(hop))) {
      server.connectionLost();
    }
  }

  private static <T> List<T> snapshot(Set<T> transactions) {
    return transactions == null ? List.of() : new ArrayList<>(transactions);
  }
}

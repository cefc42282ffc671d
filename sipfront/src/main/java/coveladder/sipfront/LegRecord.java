package coveladder.sipfront;

import coveladder.sip.Dialog;
import coveladder.sip.Hop;
import coveladder.sip.SipMessage;
import coveladder.sip.SipParseException;
import coveladder.sip.SipParser;
import coveladder.sip.SipRequest;
import coveladder.sip.SipResponse;
import coveladder.sip.Transport;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * The stored form of a call leg: its remote address, its INVITE and the final answer as they were
 * on the wire, and the present state of the dialog. The encoding is binary, without a version; the
 * order and types of its fields are fixed.
 *
 * @param hop address of the remote side
 * @param callId Call-ID
 * @param localTag local tag
 * @param remoteTag remote tag; empty before there is one
 * @param acknowledged whether the answer was acknowledged
 * @param dialogState the part of the dialog that changes; null before there is a dialog
 * @param sessionIntervalSeconds session interval (RFC 4028), s; 0: the session does not expire
 * @param invite the INVITE as sent or received
 * @param answer the final answer as sent or received; empty before there is one
 */
record LegRecord(
    Hop hop,
    String callId,
    String localTag,
    String remoteTag,
    boolean acknowledged,
    Dialog.State dialogState,
    long sessionIntervalSeconds,
    byte[] invite,
    byte[] answer) {
  private static final int MAX_HEADER_LINES = 1_000;
  private static final byte[] EMPTY = {};

  /** Encodes the record. */
  byte[] encode() {
    ByteArrayOutputStream out = new ByteArrayOutputStream(invite.length + answer.length + 128);
    try (DataOutputStream data = new DataOutputStream(out)) {
      data.writeUTF(hop.transport().name());
      data.writeUTF(hop.host());
      data.writeInt(hop.port());
      data.writeUTF(callId);
      data.writeUTF(localTag);
      data.writeUTF(remoteTag);
      data.writeBoolean(acknowledged);
      data.writeBoolean(dialogState != null);
      if (dialogState != null) {
        data.writeLong(dialogState.localSequence());
        data.writeLong(dialogState.remoteSequence());
        data.writeUTF(dialogState.remoteTarget());
      }
      data.writeLong(sessionIntervalSeconds);
      data.writeInt(invite.length);
      data.write(invite);
      data.writeInt(answer.length);
      data.write(answer);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }

  /** Decodes a whole record. */
  static LegRecord decode(byte[] octets) {
    return decode(octets, true);
  }

  /** Decodes all fields but the two messages, which are the largest part of a record. */
  static LegRecord decodeHead(byte[] octets) {
    return decode(octets, false);
  }

  private static LegRecord decode(byte[] octets, boolean withMessages) {
    try (DataInputStream data = new DataInputStream(new ByteArrayInputStream(octets))) {
      Hop hop = new Hop(Transport.fromName(data.readUTF()), data.readUTF(), data.readInt());
      String callId = data.readUTF();
      String localTag = data.readUTF();
      String remoteTag = data.readUTF();
      boolean acknowledged = data.readBoolean();
      Dialog.State dialogState =
          data.readBoolean()
              ? new Dialog.State(data.readLong(), data.readLong(), data.readUTF())
              : null;
      long sessionIntervalSeconds = data.readLong();
      byte[] invite = withMessages ? data.readNBytes(data.readInt()) : EMPTY;
      byte[] answer = withMessages ? data.readNBytes(data.readInt()) : EMPTY;
      return new LegRecord(
          hop,
          callId,
          localTag,
          remoteTag,
          acknowledged,
          dialogState,
          sessionIntervalSeconds,
          invite,
          answer);
    } catch (IOException e) {
      throw new IllegalArgumentException("stored leg is truncated", e);
    }
  }

  /** A copy with the changed state of the dialog; the interval is in s. */
  LegRecord withDialogState(
      boolean newAcknowledged, Dialog.State newDialogState, long newIntervalSeconds) {
    return new LegRecord(
        hop,
        callId,
        localTag,
        remoteTag,
        newAcknowledged,
        newDialogState,
        newIntervalSeconds,
        invite,
        answer);
  }

  /** Key of the leg's dialog. */
  String dialogKey() {
    return Dialog.key(callId, localTag, remoteTag);
  }

  SipRequest parseInvite() {
    return (SipRequest) parse(invite);
  }

  SipResponse parseAnswer() {
    return (SipResponse) parse(answer);
  }

  private static SipMessage parse(byte[] octets) {
    try {
      return new SipParser(MAX_HEADER_LINES).parse(octets);
    } catch (SipParseException e) {
      throw new IllegalArgumentException("stored message is malformed: " + e.getMessage(), e);
    }
  }
}

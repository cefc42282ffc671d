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
 * A leg as octets: where it goes, its INVITE and the answer to it as they were on the wire, and
 * what has changed in the dialog since.
 *
 * @param hop the other side
 * @param callId Call-ID
 * @param localTag own tag
 * @param remoteTag the other side's tag; empty before there is one
 * @param acknowledged whether the answer's ACK has passed
 * @param progress what has changed in the dialog; null before there is one
 * @param sessionIntervalSeconds time that the session lasts without a refresh, s; 0: for ever (RFC
 *     4028)
 * @param invite the INVITE
 * @param answer the final answer; empty before there is one
 */
record LegRecord(
    Hop hop,
    String callId,
    String localTag,
    String remoteTag,
    boolean acknowledged,
    Dialog.Progress progress,
    long sessionIntervalSeconds,
    byte[] invite,
    byte[] answer) {
  private static final int MAX_HEADERS = 1_000;
  private static final byte[] EMPTY = {};

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
      data.writeBoolean(progress != null);
      if (progress != null) {
        data.writeLong(progress.localSequence());
        data.writeLong(progress.remoteSequence());
        data.writeUTF(progress.remoteTarget());
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

  static LegRecord decode(byte[] octets) {
    return decode(octets, true);
  }

  /** Reads all but the messages, which are the most of it. */
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
      Dialog.Progress progress =
          data.readBoolean()
              ? new Dialog.Progress(data.readLong(), data.readLong(), data.readUTF())
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
          progress,
          sessionIntervalSeconds,
          invite,
          answer);
    } catch (IOException e) {
      throw new IllegalArgumentException("a kept leg is cut short", e);
    }
  }

  LegRecord withDialogState(
      boolean newAcknowledged, Dialog.Progress newProgress, long newIntervalSeconds) {
    return new LegRecord(
        hop,
        callId,
        localTag,
        remoteTag,
        newAcknowledged,
        newProgress,
        newIntervalSeconds,
        invite,
        answer);
  }

  /** Key of its dialog. */
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
      return new SipParser(MAX_HEADERS).parse(octets);
    } catch (SipParseException e) {
      throw new IllegalArgumentException("a kept message is no message: " + e.getMessage(), e);
    }
  }
}

package coveladder.store;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import coveladder.CallPolicy.Call;
import coveladder.core.recovery.SavedCall;
import coveladder.store.proto.SavedCallRecord;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes the record of a call: a CRC-32C checksum of four bytes, big-endian, followed
 * by the protobuf message that the checksum covers.
 */
final class RecordCodec {
  /** The record version that this program writes, and the newest that it reads. */
  static final int VERSION = 1;

  private static final int CHECKSUM_BYTES = 4;

  private RecordCodec() {}

  /** Thrown for a record that cannot be decoded; the message says why. */
  static final class UnreadableRecordException extends Exception {
    private static final long serialVersionUID = 1L;

    UnreadableRecordException(String reason) {
      super(reason);
    }
  }

  static byte[] encode(SavedCall saved) {
    Call call = saved.call();
    byte[] body =
        SavedCallRecord.newBuilder()
            .setVersion(VERSION)
            .setId(call.id())
            .setPhase(SavedCallRecord.Phase.valueOf(saved.phase().name()))
            .setType(call.type())
            .setPatience(call.patience())
            .setWidth(call.width())
            .setNumber(call.number())
            .setDestination(call.destination())
            .setTransit(call.transit())
            .setRedial(call.redial())
            .setReturned(call.returned())
            .setAttempt(saved.attempt())
            .setExchange(saved.exchange())
            .setCallerLeg(ByteString.copyFrom(saved.callerLeg()))
            .setAttemptLeg(ByteString.copyFrom(saved.attemptLeg()))
            .setAnswer(ByteString.copyFrom(saved.answer()))
            .setDeadline(saved.deadline())
            .build()
            .toByteArray();
    return ByteBuffer.allocate(CHECKSUM_BYTES + body.length)
        .putInt(checksum(body, 0))
        .put(body)
        .array();
  }

  private static int checksum(byte[] bytes, int from) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, from, bytes.length - from);
    return (int) crc.getValue();
  }

  static SavedCall decode(byte[] encoded) throws UnreadableRecordException {
    if (encoded.length < CHECKSUM_BYTES
        || ByteBuffer.wrap(encoded).getInt() != checksum(encoded, CHECKSUM_BYTES)) {
      throw new UnreadableRecordException("its check does not fit: " + encoded.length + " octets");
    }
    try {
      int length = encoded.length - CHECKSUM_BYTES;
      return decode(SavedCallRecord.parser().parseFrom(encoded, CHECKSUM_BYTES, length));
    } catch (InvalidProtocolBufferException e) {
      throw new UnreadableRecordException("it is no record: " + e.getMessage());
    }
  }

  private static SavedCall decode(SavedCallRecord record) throws UnreadableRecordException {
    if (record.getVersion() > VERSION) {
      throw new UnreadableRecordException(
          "it is of version " + record.getVersion() + ", this program reads up to " + VERSION);
    }
    SavedCall.Phase phase =
        switch (record.getPhase()) {
          case SETTING_UP -> SavedCall.Phase.SETTING_UP;
          case STANDS -> SavedCall.Phase.STANDS;
          case ANSWERED -> SavedCall.Phase.ANSWERED;
          default -> throw new UnreadableRecordException("its phase is unknown");
        };
    Call call =
        new Call(
            record.getId(),
            record.getType(),
            record.getPatience(),
            record.getWidth(),
            record.getNumber(),
            record.getDestination(),
            record.getTransit(),
            record.getRedial(),
            record.getReturned());
    return new SavedCall(
        call,
        phase,
        record.getAttempt(),
        record.getExchange(),
        record.getCallerLeg().toByteArray(),
        record.getAttemptLeg().toByteArray(),
        record.getAnswer().toByteArray(),
        record.getDeadline());
  }
}

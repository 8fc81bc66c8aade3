package appleridge.testbed.coordination;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import org.apache.jute.BinaryInputArchive;
import org.apache.jute.BinaryOutputArchive;
import org.apache.jute.Record;

/** Encodes and decodes the ZooKeeper protocol's frames: a length prefix and serialized records. */
final class Wire {
    /** Reads the records of a frame in order; the frame has no length prefix. */
    static final class In {
        private final BinaryInputArchive archive;

        In(byte[] frame) {
            archive = BinaryInputArchive.getArchive(new ByteArrayInputStream(frame));
        }

        <T extends Record> T read(T record) {
            try {
                record.deserialize(archive, "");
                return record;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    private Wire() {}

    /** Encodes the records as one frame with its length prefix; null records are skipped. */
    static byte[] frame(Record... records) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(new byte[Integer.BYTES]);
            BinaryOutputArchive archive = BinaryOutputArchive.getArchive(bytes);
            for (Record record : records) {
                if (record != null) {
                    record.serialize(archive, "");
                }
            }
            byte[] frame = bytes.toByteArray();
            ByteBuffer.wrap(frame).putInt(frame.length - Integer.BYTES);
            return frame;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

package appleridge.testbed.campaign;

import appleridge.testbed.simnet.SimLoop;
import appleridge.transport.LoopActivity;

/** What the sidecar learns of the turns of its simulated loop. */
record SimLoopActivity(SimLoop loop) implements LoopActivity {
    @Override
    public long turnCount() {
        return 0;
    }

    @Override
    public long maxUnreadInputNanos() {
        long readySince = loop.readySince();
        return readySince < 0 ? UNKNOWN_NANOS : readySince;
    }
}

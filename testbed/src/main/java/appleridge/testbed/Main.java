package appleridge.testbed;

import appleridge.testbed.campaign.Shrink;
import appleridge.testbed.campaign.Simulate;
import appleridge.testbed.coordination.CoordinationCommand;
import appleridge.testbed.coordination.Measure;
import appleridge.testbed.demo.Demo;
import appleridge.testbed.lease.CheckLeases;
import appleridge.testbed.lease.LeaseFaultsCommand;
import appleridge.testbed.mutation.PlantedCommand;
import java.io.IOException;
import java.util.Arrays;

/** Entry point of {@code testbed.jar}. */
public final class Main {
    private Main() {}

    /** Runs the command named by the first argument and exits with its status. */
    public static void main(String[] args) throws IOException {
        String[] rest = args.length == 0 ? args : Arrays.copyOfRange(args, 1, args.length);
        switch (args.length == 0 ? "" : args[0]) {
            case "demo" -> System.exit(Demo.run(System.out, System.err, rest));
            case "simulate" -> System.exit(new Simulate(System.out, System.err).run(rest));
            case "shrink" -> System.exit(new Shrink(System.out, System.err).run(rest));
            case "planted" -> System.exit(new PlantedCommand(System.out).run(rest));
            case "check-leases" -> System.exit(new CheckLeases(System.out).run(rest));
            case "leases" -> System.exit(new LeaseFaultsCommand(System.out, System.err).run(rest));
            case "measure" -> System.exit(new Measure(System.out, System.err).run(rest));
            case "coordination" ->
                    System.exit(
                            new CoordinationCommand(System.out, System.err).run(System.in, rest));
            default -> {
                System.err.println(
                        "usage: java -jar testbed.jar"
                            + " demo|simulate|shrink|planted|check-leases|leases|measure|coordination"
                            + " ...");
                System.exit(2);
            }
        }
    }
}

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery as the platform's protocol describes it; it may answer at several addresses. */
final class Discovery {
  /** One address at which discovery answers. */
  final class Agent {
    final String address;
    private final ServerSocket listener;

    /** What this address takes to answer a call, in ms. */
    volatile double delayMs;

    private final List<Socket> watches = new ArrayList<>();

    Agent(String host) throws IOException {
      listener = new ServerSocket(0, 1000, InetAddress.getByName(host));
      address = host + ":" + listener.getLocalPort();
      daemon(this::accept);
    }

    private void accept() {
      try {
        while (true) {
          Socket socket = listener.accept();
          daemon(() -> serve(socket));
        }
      } catch (IOException closed) {
        // This address has been given up.
      }
    }

    private void serve(Socket socket) {
      try {
        socket.setTcpNoDelay(true);
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
          int next = in.read();
          if (next < 0) {
            return;
          }
          head.append((char) next);
        }
        String target = head.toString().split(" ")[1];
        Rig.sleep(delayMs);
        OutputStream out = socket.getOutputStream();
        if (!target.contains("watch=1")) {
          byte[] body = list().getBytes(StandardCharsets.UTF_8);
          out.write(
              ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes());
          out.write(body);
          return;
        }
        rig.log("discovery " + address + " answers " + target);
        synchronized (Discovery.this) {
          out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
          send(socket, list() + "\n");
          watches.add(socket);
        }
        while (!socket.isClosed()) {
          Rig.sleep(2000);
          synchronized (Discovery.this) {
            send(socket, "\n");
          }
        }
      } catch (IOException ended) {
        // The watch has ended.
      }
    }

    private void send(Socket socket, String text) throws IOException {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      byte[] chunk = (Integer.toHexString(bytes.length) + "\r\n").getBytes();
      byte[] all = new byte[chunk.length + bytes.length + 2];
      System.arraycopy(chunk, 0, all, 0, chunk.length);
      System.arraycopy(bytes, 0, all, chunk.length, bytes.length);
      all[all.length - 2] = '\r';
      all[all.length - 1] = '\n';
      socket.getOutputStream().write(all);
    }

    /** Accepts no new connection from now on. */
    void stopAccepting() throws IOException {
      listener.close();
    }

    /** Closes the open watches. */
    void closeWatches() {
      synchronized (Discovery.this) {
        for (Socket watch : watches) {
          try {
            watch.close();
          } catch (IOException alreadyClosed) {
            // It is closed, as it should be.
          }
        }
        watches.clear();
      }
    }
  }

  private final Rig rig;
  private final Map<String, String> members = new LinkedHashMap<>();
  private final List<Agent> agents = new ArrayList<>();
  private long revision = 41;

  Discovery(Rig rig) {
    this.rig = rig;
  }

  static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  synchronized Agent open(String host) throws IOException {
    Agent agent = new Agent(host);
    agents.add(agent);
    return agent;
  }

  static String entry(String id, String address, String zone, int cell, String phase, long since) {
    return "{\"id\":\""
        + id
        + "\",\"host_port\":\""
        + address
        + "\",\"locality\":\""
        + zone
        + "\",\"flavor\":\"std-2core\",\"cell\":"
        + cell
        + ",\"phase\":\""
        + phase
        + "\",\"size\":1.0,\"up_since_ms\":"
        + since
        + "}";
  }

  /** Adds a server before any watch is open. */
  synchronized void add(String id, String entry) {
    members.put(id, entry);
  }

  /** Tells a change to all watches that are open. */
  synchronized void change(String id, String entry) {
    revision++;
    if (entry.contains("\"removed\"")) {
      members.remove(id);
    } else {
      members.put(id, entry);
    }
    String line = "{\"revision\":" + revision + ",\"complete\":false,\"members\":[" + entry + "]}\n";
    for (Agent agent : agents) {
      for (Socket watch : List.copyOf(agent.watches)) {
        try {
          agent.send(watch, line);
          rig.log("discovery " + agent.address + " tells " + entry);
        } catch (IOException ended) {
          agent.watches.remove(watch);
        }
      }
    }
  }

  /** The whole list. */
  synchronized String list() {
    return "{\"revision\":"
        + revision
        + ",\"complete\":true,\"members\":["
        + String.join(",", members.values())
        + "]}";
  }
}

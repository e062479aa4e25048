package main

func standinCommand() *command {
	return &command{
		name:    "standin",
		summary: "Run a stand-in for an outside system as a separate process",
		examples: `  rosectl standin platform --listen 127.0.0.1:7100 --snapshot config.json
  rosectl standin engine --listen 127.0.0.1:7201 --id e1 --model m
  curl -d '{"die":true}' http://127.0.0.1:7201/faults`,
		children: []*command{
			standinPlatform(), standinHostlist(), standinWeights(), standinEngine(), standinService(),
		},
	}
}

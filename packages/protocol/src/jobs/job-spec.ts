export type Shape = 'array' | 'gang' | 'service';

export interface JobSpec {
  id: string;
  cls: string;
  team: string;
  shape: Shape;
  rank: number;
  tasks: number;
  cpus: number;
  gpus: number;
  memory: number;
  image: string;
  imageGb: number;
  types: string[] | null;
  zone: string | null;
  oneZone: boolean;
  spread: boolean;
  spot: boolean;
  estimateS: number;
  checkpointS: number;
  saveS: number;
  deadlineS: number | null;
}

/** Datagrams between nodes: messages of membership, and questions about load. */
export {
  decodeDatagram,
  decodeRecords,
  encodeDatagram,
  encodeRecords,
} from './datagram_codec';
export type {
  Datagram,
  ExchangeDatagram,
  LoadResponse,
  LoadRequest,
} from './datagram';

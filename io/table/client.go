package table

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/cockroachdb/errors"

	"hickorybend/core/rows"
)

// Client is a rows.Store on the platform's table service.
type Client struct {
	service *dynamodb.Client
	name    string
	reads   atomic.Int64
	writes  atomic.Int64
}

// Options says where the table service is and who asks.
type Options struct {
	Endpoint string
	Table    string
	Region   string
	KeyID    string
	Secret   string
	HTTP     *http.Client
}

const (
	fieldPart    = "part"
	fieldSort    = "sort"
	fieldVersion = "version"
	fieldWrites  = "writes"
	fieldBody    = "body"

	conditionAbsent  = "attribute_not_exists(version)"
	conditionVersion = "version = :base"
)

// ErrUnknownOutcome says that the table service gave no outcome for a transaction.
var ErrUnknownOutcome = errors.New("table: no outcome for a transaction")

// ErrMalformedRow says that an item of the table is not a row of this system.
var ErrMalformedRow = errors.New("table: an item is not a row")

// New makes a client. The library's own retries stay off: whether a second
// attempt is safe is not the library's to know.
func New(options Options) *Client {
	service := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(options.Endpoint),
		Region:       options.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(options.KeyID, options.Secret, ""),
		Retryer:      aws.NopRetryer{},
		HTTPClient:   options.HTTP,
	})
	return &Client{service: service, name: options.Table}
}

// Reads counts the reads sent.
func (client *Client) Reads() int64 { return client.reads.Load() }

// Writes counts the transactions sent.
func (client *Client) Writes() int64 { return client.writes.Load() }

// Commit tries a transaction once.
func (client *Client) Commit(ctx context.Context, txn rows.Txn) rows.Outcome {
	ctx, cancel := context.WithTimeout(ctx, rows.CommitTimeout)
	defer cancel()
	items := make([]types.TransactWriteItem, len(txn.Ops))
	for i, op := range txn.Ops {
		items[i] = client.encodeStep(op, txn.WriteID)
	}
	client.writes.Add(1)
	_, err := client.service.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items})
	return outcomeOf(txn, err)
}

func outcomeOf(txn rows.Txn, err error) rows.Outcome {
	if err == nil {
		return rows.Committed{}
	}
	var cancelled *types.TransactionCanceledException
	if !errors.As(err, &cancelled) {
		return rows.Unknown{Cause: errors.Mark(errors.Wrap(err, "table: committing"), ErrUnknownOutcome)}
	}
	for i, reason := range cancelled.CancellationReasons {
		if aws.ToString(reason.Code) == "ConditionalCheckFailed" && i < len(txn.Ops) {
			return rows.Refused{Key: rows.KeyOf(txn.Ops[i])}
		}
	}
	return rows.Unknown{Cause: errors.Mark(errors.Wrap(err, "table: cancelled without a condition"), ErrUnknownOutcome)}
}

// Get reads one row as it is at this moment.
func (client *Client) Get(ctx context.Context, key rows.Key) (rows.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, rows.CommitTimeout)
	defer cancel()
	client.reads.Add(1)
	answer, err := client.service.GetItem(ctx, &dynamodb.GetItemInput{
		TableName: aws.String(client.name), Key: encodeKey(key), ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return rows.Row{}, errors.Mark(errors.Wrapf(err, "table: reading %s/%s", key.Partition, key.Sort), rows.ErrOutage)
	}
	if len(answer.Item) == 0 {
		return rows.Row{Key: key}, rows.ErrAbsent
	}
	return decodeRow(answer.Item)
}

// List reads the rows of a partition in the order of their sort keys.
func (client *Client) List(ctx context.Context, part string) ([]rows.Row, error) {
	var found []rows.Row
	var from map[string]types.AttributeValue
	for {
		answer, err := client.page(ctx, part, from)
		if err != nil {
			return nil, errors.Mark(errors.Wrapf(err, "table: listing %s", part), rows.ErrOutage)
		}
		for _, item := range answer.Items {
			row, err := decodeRow(item)
			if err != nil {
				return nil, err
			}
			found = append(found, row)
		}
		if from = answer.LastEvaluatedKey; len(from) == 0 {
			return found, nil
		}
	}
}

func (client *Client) page(ctx context.Context, part string, from map[string]types.AttributeValue) (*dynamodb.QueryOutput, error) {
	ctx, cancel := context.WithTimeout(ctx, rows.CommitTimeout)
	defer cancel()
	client.reads.Add(1)
	return client.service.Query(ctx, &dynamodb.QueryInput{
		TableName:                 aws.String(client.name),
		ConsistentRead:            aws.Bool(true),
		KeyConditionExpression:    aws.String(fieldPart + " = :part"),
		ExpressionAttributeValues: map[string]types.AttributeValue{":part": text(part)},
		ExclusiveStartKey:         from,
	})
}

func (client *Client) encodeStep(op rows.Op, write string) types.TransactWriteItem {
	table := aws.String(client.name)
	switch typed := op.(type) {
	case rows.Put:
		condition, values := conditionOf(typed.Base)
		return types.TransactWriteItem{Put: &types.Put{
			TableName: table, Item: encodeRow(rows.Apply(typed, write)),
			ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	case rows.Check:
		condition, values := conditionOf(typed.Base)
		return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName: table, Key: encodeKey(typed.Key),
			ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	case rows.Delete:
		condition, values := conditionOf(typed.Base)
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: table, Key: encodeKey(typed.Key),
			ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	default:
		panic(errors.AssertionFailedf("table: unknown step %T", op))
	}
}

func conditionOf(base int64) (*string, map[string]types.AttributeValue) {
	if base == 0 {
		return aws.String(conditionAbsent), nil
	}
	return aws.String(conditionVersion), map[string]types.AttributeValue{":base": number(base)}
}

func encodeKey(key rows.Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{fieldPart: text(key.Partition), fieldSort: text(key.Sort)}
}

func encodeRow(row rows.Row) map[string]types.AttributeValue {
	writes := make([]types.AttributeValue, len(row.Writes))
	for i, write := range row.Writes {
		writes[i] = text(write)
	}
	item := encodeKey(row.Key)
	item[fieldVersion] = number(row.Version)
	item[fieldWrites] = &types.AttributeValueMemberL{Value: writes}
	item[fieldBody] = &types.AttributeValueMemberB{Value: row.Body}
	return item
}

func decodeRow(item map[string]types.AttributeValue) (rows.Row, error) {
	part, partOK := item[fieldPart].(*types.AttributeValueMemberS)
	sort, sortOK := item[fieldSort].(*types.AttributeValueMemberS)
	version, versionOK := item[fieldVersion].(*types.AttributeValueMemberN)
	if !partOK || !sortOK || !versionOK {
		return rows.Row{}, ErrMalformedRow
	}
	row := rows.Row{Key: rows.Key{Partition: part.Value, Sort: sort.Value}}
	parsed, err := strconv.ParseInt(version.Value, 10, 64)
	if err != nil {
		return rows.Row{}, errors.Mark(errors.Wrap(err, "table: a version"), ErrMalformedRow)
	}
	row.Version = parsed
	if body, ok := item[fieldBody].(*types.AttributeValueMemberB); ok {
		row.Body = body.Value
	}
	if writes, ok := item[fieldWrites].(*types.AttributeValueMemberL); ok {
		row.Writes = decodeWrites(writes.Value)
	}
	return row, nil
}

func decodeWrites(values []types.AttributeValue) []string {
	writes := make([]string, 0, len(values))
	for _, value := range values {
		if write, ok := value.(*types.AttributeValueMemberS); ok {
			writes = append(writes, write.Value)
		}
	}
	return writes
}

func text(value string) types.AttributeValue {
	return &types.AttributeValueMemberS{Value: value}
}

func number(value int64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatInt(value, 10)}
}
